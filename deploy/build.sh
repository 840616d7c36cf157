# Installs the node and what it needs into target/deps.
set -eu
if [ ! -e target/deps/.installed ] || ! cmp -s deploy/requirements.txt target/deps/.installed; then
  rm -rf target/deps
  python3 -m pip install -q --disable-pip-version-check -c constraints.txt \
    --target target/deps -r deploy/requirements.txt
  cp deploy/requirements.txt target/deps/.installed
fi
rm -rf target/deps/bilberryrail
mkdir -p target/deps/bilberryrail
for package in core policy control forwarding gateway; do
  cp -r "packages/$package/bilberryrail/$package" target/deps/bilberryrail/
done
cp -r platform/bilberryrail/adapter target/deps/bilberryrail/
python3 -m compileall -q target/deps/bilberryrail
