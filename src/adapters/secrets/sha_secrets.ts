/** Secrets of keys and their SHA-256 digests. */
import { Buffer } from "node:buffer";
import { createHash, randomBytes, timingSafeEqual } from "node:crypto";
import type { Secrets } from "../../ports/index.ts";

// A random secret of this length cannot be guessed, so the digest needs no slow
// password hash.
const SECRET_BYTES = 32;

/** Computes SHA-256 digests, and compares them in constant time. */
export class ShaSecrets implements Secrets {
  digest(secret: string): string {
    return createHash("sha256").update(secret).digest("hex");
  }

  digestParts(parts: readonly (string | Uint8Array)[]): string {
    const hash = createHash("sha256");
    for (const part of parts) {
      hash.update(`${Buffer.byteLength(part)}:`).update(part);
    }
    return hash.digest("hex");
  }

  equals(left: string, right: string): boolean {
    const leftBytes = Buffer.from(left, "hex");
    const rightBytes = Buffer.from(right, "hex");
    return leftBytes.length === rightBytes.length &&
      timingSafeEqual(leftBytes, rightBytes);
  }

  create(): string {
    return randomBytes(SECRET_BYTES).toString("base64url");
  }
}
