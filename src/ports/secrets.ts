/** Port for secrets and digests. */

/** Creates secrets, and computes and compares digests. */
export interface Secrets {
  /**
   * Computes the digest of a secret.
   *
   * @param secret - The secret that a caller sent.
   * @returns The digest in hexadecimal.
   */
  digest(secret: string): string;
  /**
   * Computes the digest of content that consists of several parts. The same
   * bytes, split into other parts, have another digest.
   *
   * @param parts - Texts and byte arrays.
   * @returns The digest in hexadecimal.
   */
  digestParts(parts: readonly (string | Uint8Array)[]): string;
  /**
   * Compares two digests in constant time.
   *
   * @param left - A digest in hexadecimal.
   * @param right - A digest in hexadecimal.
   * @returns True when they are equal.
   */
  equals(left: string, right: string): boolean;
  /** Generates a random secret. */
  create(): string;
}
