# Installs the node and its dependencies into target/deps.
#
# Running nodes import from target/deps, so the new tree is built in a
# temporary folder that then replaces target/deps by a rename. If nothing has
# changed since the last build, target/deps is left as it is.
set -eu
sources="packages/core packages/policy packages/control packages/forwarding packages/gateway platform"
fingerprint=$(
  find $sources deploy/build.sh deploy/requirements.txt constraints.txt \
    -type f ! -path '*/__pycache__/*' ! -name '*_test.py' -print0 |
    LC_ALL=C sort -z | xargs -0 sha256sum | sha256sum
)
if [ -e target/deps/.built ] && [ "$(cat target/deps/.built)" = "$fingerprint" ]; then
  exit 0
fi
mkdir -p target
next=$(mktemp -d target/deps.XXXXXX)
trap 'rm -rf "$next"' EXIT
if [ -e target/deps/.installed ] && cmp -s deploy/requirements.txt target/deps/.installed; then
  cp -r target/deps/. "$next"
  rm -rf "$next/bilberryrail"
else
  python3 -m pip install -q --disable-pip-version-check -c constraints.txt \
    --target "$next" -r deploy/requirements.txt
  cp deploy/requirements.txt "$next/.installed"
fi
mkdir -p "$next/bilberryrail"
for package in core policy control forwarding gateway; do
  cp -r "packages/$package/bilberryrail/$package" "$next/bilberryrail/"
done
cp -r platform/bilberryrail/adapter "$next/bilberryrail/"
python3 -m compileall -q "$next/bilberryrail"
printf '%s' "$fingerprint" > "$next/.built"
chmod 755 "$next"
old=$(mktemp -d target/old.XXXXXX)
if [ -e target/deps ]; then
  mv target/deps "$old/"
fi
mv "$next" target/deps
rm -rf "$old"
