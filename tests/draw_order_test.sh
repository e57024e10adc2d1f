#!/usr/bin/env bash
# Finds calls with two random draws among their arguments. C++ leaves the order of a call's arguments to the compiler,
# and g++ takes them from the right on x86-64 and from the left on arm64: the same seed then decides differently.
#
#     draw_order_test.sh FOLDER...
#
# Prints each such call with its file; the exit code is 1 where there is one. Exit code 2: it does not find one that
# it makes itself, or the folders have no sources.
set -euo pipefail

find_calls() {
  perl -0777 -ne '
    my $draw = qr/\b(?:draw_\w+|uniform|jittered|between|below|bernoulli|uniform_below|next)\(|\brandom_?\(\)|\bengine_\(\)/;
    s{//[^\n]*}{}g;
    # Each call with its arguments; nested calls are looked at as calls of their own, too.
    while (/\b([A-Za-z_][\w:]*)(?=(\((?:[^()]++|(?2))*\)))/g) {
      my ($name, $inner) = ($1, $2);
      next if $name =~ /^(?:if|for|while|switch|return|sizeof|catch)$/;
      $inner = substr($inner, 1, -1);
      my ($depth, @arguments) = (0, "");
      for my $c (split //, $inner) {
        $depth++ if $c =~ /[(\[{]/;
        $depth-- if $c =~ /[)\]}]/;
        if ($c eq "," && $depth == 0) { push @arguments, ""; next }
        $arguments[-1] .= $c;
      }
      # A declaration has a type and a name where a call has an argument that draws.
      my @drawing = grep { /$draw/ && !/^\s*\[/ } @arguments;
      if (@drawing > 1) { $inner =~ s/\s+/ /g; print "$ARGV: $name($inner)\n" }
    }' "$@"
}

made=$(mktemp)
trap 'rm -f "$made"' EXIT
echo 'x = std::max(jittered(a), c ? std::min(draw_exponential(b), 2 * b) : 0);' >"$made"
[ -n "$(find_calls "$made")" ] || { echo "draw_order: does not find its own example" >&2; exit 2; }

mapfile -t sources < <(find "$@" -name '*.cpp' -o -name '*.h')
[ ${#sources[@]} -gt 0 ] || { echo "draw_order: no sources" >&2; exit 2; }
calls=$(find_calls "${sources[@]}")
if [ -n "$calls" ]; then
  echo "$calls"
  exit 1
fi
echo "draw_order: ${#sources[@]} files, no call with two draws among its arguments"
