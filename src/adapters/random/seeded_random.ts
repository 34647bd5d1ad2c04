/** Pseudo-random numbers and ids from a seeded generator. */
import { randomBytes } from "node:crypto";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Random } from "../../ports/index.ts";

const ID_DIGITS = 20;

/**
 * Draws from a seeded pseudo-random generator. Its output is predictable, so it
 * must not be used for secrets.
 */
export class SeededRandom implements Random {
  readonly #generator: RandomGenerator;

  /** @param seed - Equal seeds give equal sequences. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /**
   * Creates a generator with a seed from the operating system's random source.
   *
   * @returns A generator whose sequence differs between processes.
   */
  static withRandomSeed(): SeededRandom {
    return new SeededRandom(randomBytes(4).readInt32LE());
  }

  nextInt(limit: number): number {
    return uniformInt(this.#generator, 0, limit - 1);
  }

  nextId(): string {
    let id = "";
    while (id.length < ID_DIGITS) {
      id += this.nextInt(16).toString(16);
    }
    return id;
  }
}
