/** Randomness from a seeded generator. */
import { randomBytes } from "node:crypto";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Random } from "../../ports/index.ts";

const ID_DIGITS = 20;

/** Draws from one seeded generator. */
export class SeededRandom implements Random {
  readonly #generator: RandomGenerator;

  /** @param seed - Equal seeds give equal draws. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /**
   * Creates a source with a seed from the machine.
   *
   * @returns A source that differs for each process.
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
