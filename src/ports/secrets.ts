/** Digests of keys, as the decisions see them. */

/** Digests secrets and compares digests in constant time. */
export interface Secrets {
  /**
   * Digests a secret.
   *
   * @param secret - The secret as shown by a caller.
   * @returns The digest in hexadecimal.
   */
  digest(secret: string): string;
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
