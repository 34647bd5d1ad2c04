/** Port for random values. */

/** A source of random values that tests can seed. */
export interface Random {
  /**
   * Generates a random integer.
   *
   * @param limit - Exclusive upper bound, at least 1.
   * @returns An integer from 0 up to, but not including, the limit.
   */
  nextInt(limit: number): number;
  /**
   * Generates a random identifier.
   *
   * @returns An identifier of 20 hexadecimal digits.
   */
  nextId(): string;
}
