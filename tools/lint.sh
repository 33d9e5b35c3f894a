#!/usr/bin/env bash
# Checks formatting of all sources and runs clang-tidy on them. $1 is the build folder.
# clang-tidy results are cached by content: a file is checked again only if it, a header of the
# repository, the compile flags or the rules changed.
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.h' | xargs -r clang-format --dry-run --Werror
cache=${DAMASKHALL_TIDY_CACHE:-$HOME/.cache/damaskhall-tidy}
mkdir -p "$cache"
export build cache
check() {
    local file=$1 key
    key=$({ cat .clang-tidy "$file"; clang++ -std=c++20 -DASIO_STANDALONE -DMSGPACK_NO_BOOST -Isrc -I. -MM "$file" 2>/dev/null \
        | tr ' \\' '\n\n' | grep -v '^/' | grep '\.h$' | sort -u | xargs -r cat; } | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && return 0
    clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option "$file" 2>/dev/null && touch "$cache/$key"
}
export -f check
git ls-files 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'fakes/*.cpp' 'measure/*.cpp' | xargs -r -P "${LINT_JOBS:-8}" -I{} bash -c 'check {}'
echo "lint: clean"
