//===- digest.cpp - Keyed digests -----------------------------------------===//
//
// Edits, snapshots and session tokens are signed. The comparison takes the
// same time for any wrong digest.
//
//===----------------------------------------------------------------------===//

#include "berylramp/table.h"

#include "absl/strings/escaping.h"
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace berylramp {

std::string keyedDigest(const std::string &Secret, const std::string &Text) {
  unsigned char Out[EVP_MAX_MD_SIZE];
  unsigned int Length = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(), Out,
       &Length);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<char *>(Out), Length));
}

bool checkKeyedDigest(const std::vector<std::string> &Secrets,
                      const std::string &Text, const std::string &Mac) {
  bool Matches = false;
  for (const std::string &Secret : Secrets) {
    std::string Wanted = keyedDigest(Secret, Text);
    if (Wanted.size() != Mac.size())
      continue;
    if (CRYPTO_memcmp(Wanted.data(), Mac.data(), Wanted.size()) == 0)
      Matches = true;
  }
  return Matches;
}

} // namespace berylramp
