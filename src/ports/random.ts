/** Randomness, as the rest of the system sees it. */

/** A source of randomness that tests can seed. */
export interface Random {
  /**
   * Draws an integer.
   *
   * @param limit - Exclusive upper bound, at least 1.
   * @returns An integer from 0 up to, but not including, the limit.
   */
  nextInt(limit: number): number;
  /**
   * Draws an identifier.
   *
   * @returns An identifier of 20 hexadecimal digits.
   */
  nextId(): string;
}
