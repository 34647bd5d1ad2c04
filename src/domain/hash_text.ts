/** A hash that spreads names evenly. */

const FACTOR = 31;
const MODULUS = 1_000_003;

/**
 * Computes a hash that is the same in each process.
 *
 * @param text - A name.
 * @returns A whole number from 0.
 */
export function hashText(text: string): number {
  let value = 0;
  for (let at = 0; at < text.length; at += 1) {
    value = (value * FACTOR + text.charCodeAt(at)) % MODULUS;
  }
  return value;
}
