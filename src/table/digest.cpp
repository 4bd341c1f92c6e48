//===- digest.cpp - Keyed digests -----------------------------------------===//
//
// Edits, snapshots, session tokens and peer calls are signed. Digests are
// compared in constant time, so that the response time does not reveal how much
// of a forged digest is correct.
//
//===----------------------------------------------------------------------===//

#include "berylramp/table.h"

#include "absl/strings/escaping.h"
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace berylramp {

std::string keyedDigest(const std::string &Secret, const std::string &Text) {
  unsigned char Digest[EVP_MAX_MD_SIZE];
  unsigned int Length = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Digest, &Length);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<char *>(Digest), Length));
}

bool verifyKeyedDigest(const std::vector<std::string> &Secrets,
                       const std::string &Text, const std::string &Mac) {
  bool Matches = false;
  for (const std::string &Secret : Secrets) {
    std::string Expected = keyedDigest(Secret, Text);
    if (Expected.size() != Mac.size())
      continue;
    if (CRYPTO_memcmp(Expected.data(), Mac.data(), Expected.size()) == 0)
      Matches = true;
  }
  return Matches;
}

} // namespace berylramp
