/** Log store of an entry that has no disk. */
import { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import type { LogStore, Random, StoredLog } from "../../ports/index.ts";

/**
 * Stores nothing, so the log lasts only as long as the process. An entry with
 * this store replicates the log but never votes.
 */
export class MemoryLogStore implements LogStore {
  readonly #random: Random;

  /** @param random - Draws a new store id on each load. */
  constructor(random: Random) {
    this.#random = random;
  }

  load(): Promise<Result<StoredLog, Failure>> {
    const storeId = this.#random.nextId();
    return Promise.resolve(Result.ok({
      vote: { term: 0, votedFor: undefined, storeId },
      snapshot: undefined,
      entries: [],
    }));
  }

  append(): Promise<Result<void, Failure>> {
    return Promise.resolve(Result.ok(undefined));
  }

  saveVote(): Promise<Result<void, Failure>> {
    return Promise.resolve(Result.ok(undefined));
  }

  saveSnapshot(): Promise<Result<void, Failure>> {
    return Promise.resolve(Result.ok(undefined));
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
