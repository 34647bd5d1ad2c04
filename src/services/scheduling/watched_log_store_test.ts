import { Result } from "true-myth";
import * as assert from "uvu/assert";
import { MemoryLogStore } from "../../adapters/disk/index.ts";
import { SeededRandom } from "../../adapters/random/index.ts";
import { createFailure, type Failure } from "../../domain/index.ts";
import type { VoteRecord } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { WatchedLogStore } from "./watched_log_store.ts";

const SEED = 20_312;
const WRITE_MS = 40;
const PAUSE_MS = 500;
const VOTE: VoteRecord = { term: 1, votedFor: undefined, storeId: "store-1" };

/** A store whose log can be full while it stores votes. */
class FullStore extends MemoryLogStore {
  isFull = false;
  readonly #clock: FakeClock;

  constructor(clock: FakeClock) {
    super(new SeededRandom(SEED));
    this.#clock = clock;
  }

  override async append(): Promise<Result<void, Failure>> {
    await this.#clock.sleep(WRITE_MS);
    return this.isFull
      ? Result.err(createFailure("readOnly", "no space is left"))
      : Result.ok(undefined);
  }
}

function setUp() {
  const clock = new FakeClock();
  const logger = new FakeLogger();
  const store = new FullStore(clock);
  const writes: string[] = [];
  const watched = new WatchedLogStore({
    store,
    clock,
    logger,
    metrics: {
      recordDiskWrite: (kind, outcome, tookMs) =>
        writes.push(`${kind} ${outcome} ${tookMs}`),
    },
  });
  const append = () => clock.runUntil(watched.append([]), WRITE_MS);
  return { append, clock, logger, store, watched, writes };
}

describe("watched log store", () => {
  // Guards against commits that are slow because of a disk and look like those
  // that are slow because of the other voters.
  it("measures each write", async () => {
    const { append, store, watched, writes } = setUp();
    await append();
    store.isFull = true;
    await append();
    await watched.saveVote(VOTE);
    assert.equal(writes, ["log stored 40", "log rejected 40", "vote stored 0"]);
  });

  // Guards against a full disk of a controller of which no line tells how long
  // it was full.
  it("logs when the disk rejects writes and when it no longer does", async () => {
    const { append, clock, logger, store, watched } = setUp();
    await append();
    assert.equal(logger.lines, []);
    store.isFull = true;
    const rejected = await append();
    assert.ok(rejected.isErr);
    await clock.advance(PAUSE_MS);
    await append();
    await watched.saveVote(VOTE);
    assert.equal(logger.lines, [{
      level: "error",
      fields: { write: "log", failure: rejected.error },
      message: "the disk rejects writes",
    }]);
    store.isFull = false;
    await append();
    await append();
    assert.equal(logger.lines.slice(1), [{
      level: "info",
      fields: {
        write: "log",
        rejectedCount: 2,
        rejectedForMs: PAUSE_MS + 2 * WRITE_MS,
      },
      message: "the disk accepts writes again",
    }]);
  });
});
