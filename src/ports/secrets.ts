/** Digests of keys, as the decisions see them. */

/** Digests secrets and content, and compares digests in constant time. */
export interface Secrets {
  /**
   * Digests a secret.
   *
   * @param secret - The secret as shown by a caller.
   * @returns The digest in hexadecimal.
   */
  digest(secret: string): string;
  /**
   * Digests content of several parts; the same bytes split otherwise differ.
   *
   * @param parts - Text and bytes.
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
  /** Creates a new random secret. */
  create(): string;
}
