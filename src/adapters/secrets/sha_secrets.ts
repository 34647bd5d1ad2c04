/** Digests of keys by SHA-256. */
import { Buffer } from "node:buffer";
import { createHash, randomBytes, timingSafeEqual } from "node:crypto";
import type { Secrets } from "../../ports/index.ts";

// Secrets are random and this long, so a fast digest gives nothing to guess.
const SECRET_BYTES = 32;

/** Digests with SHA-256 and compares in constant time. */
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
