import process from "node:process";
import * as assert from "uvu/assert";
import { SeededRandom } from "../adapters/random/index.ts";
import {
  describe,
  type DiskOperation,
  FakeCluster,
  it,
  ReplicaHistory,
} from "../testing/index.ts";
import {
  DISK_COOLDOWN_MS,
  DISK_RETRY_DELAY_MS,
  ELECTION_JITTER_MS,
  MAX_ELECTION_RETRY_DELAY_MS,
  MIN_ELECTION_TIMEOUT_MS,
  PROPOSE_TIMEOUT_MS,
  QUORUM_LOSS_TIMEOUT_MS,
  RESIGNATION_COOLDOWN_MS,
  RETRY_DELAY_MS,
  VOTE_TIMEOUT_MS,
} from "./timing.ts";

const ENTRY_IDS = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
const OBSERVER = "z";
const SEED = Number(process.env["SEED"] ?? 20_261);
const RUN_COUNT = Number(process.env["RUNS"] ?? 1);
const VERBOSE = process.env["VERBOSE"] !== undefined;
const STEP_MS = 100;
const MIN_FULL_MS = 500;
const MAX_FULL_MS = 8_000;
const MAX_GAP_MS = 3_000;
const MAX_SPAN_COUNT = 9;
const MAX_OPEN_CHANGES = 2;
const PERCENT = 100;
const MAX_SPLIT_ELECTIONS = 4;
/** Time within which an operator expects the acknowledgement of a change. */
const ACK_TIMEOUT_MS = 4_000;
const ELECTION_MS = 2 * VOTE_TIMEOUT_MS + MAX_ELECTION_RETRY_DELAY_MS;

/**
 * Time after the last fault within which every change must be acknowledged: a
 * leader that resigned becomes eligible, notices that the last leader is gone,
 * wins after a few split votes, and followers find it. The longer pause after a
 * planned stop counts where histories contain one.
 */
function computeRecoveryMs(hasOtherFaults: boolean): number {
  const cooldownMs = hasOtherFaults
    ? RESIGNATION_COOLDOWN_MS
    : DISK_COOLDOWN_MS;
  return cooldownMs + QUORUM_LOSS_TIMEOUT_MS + MIN_ELECTION_TIMEOUT_MS +
    ELECTION_JITTER_MS + MAX_SPLIT_ELECTIONS * ELECTION_MS +
    DISK_RETRY_DELAY_MS + RETRY_DELAY_MS;
}

const REFUSABLE: readonly DiskOperation[] = [
  "open",
  "truncate",
  "rename",
  "remove",
  "close",
];

interface DiskHistoryOptions {
  readonly seed: number;
  readonly voterCount: number;
  /** Whether processes and links fail beside the disks. */
  readonly hasOtherFaults: boolean;
}

class DiskHistory {
  readonly #options: DiskHistoryOptions;
  readonly #random: SeededRandom;
  readonly #cluster: FakeCluster;
  readonly #history: ReplicaHistory;
  #isDown = false;
  #isCalm = false;
  #slowestAckMs = 0;
  #openCount = 0;
  #sentCount = 0;

  constructor(options: DiskHistoryOptions) {
    const { seed, voterCount, hasOtherFaults } = options;
    this.#options = options;
    this.#random = new SeededRandom(seed);
    const ids = ENTRY_IDS.slice(0, voterCount);
    const initialCount = hasOtherFaults ? Math.min(3, voterCount) : voterCount;
    this.#cluster = new FakeCluster({
      seed,
      voterIds: ids.slice(0, initialCount),
      spareIds: ids.slice(initialCount),
      observerIds: [OBSERVER],
      replica: {
        admitsMembers: true,
        snapshotIntervalCount: 15,
        trailingEntryCount: 4,
      },
    });
    this.#history = new ReplicaHistory(this.#cluster);
  }

  async run(): Promise<void> {
    await this.#cluster.start();
    await this.#cluster.waitForLeader();
    await this.#advance(2_000);
    const spanCount = 2 + this.#draw(MAX_SPAN_COUNT - 1);
    for (let span = 0; span < spanCount; span += 1) {
      await this.#fillOneDisk();
      await this.#advance(this.#draw(MAX_GAP_MS));
    }
    await this.#recover();
    const openBefore = this.#openCount;
    await this.#advance(computeRecoveryMs(this.#options.hasOtherFaults));
    await this.#checkAcknowledgedEverywhere();
    if (!this.#options.hasOtherFaults) {
      assert.ok(
        this.#slowestAckMs < ACK_TIMEOUT_MS,
        `a change waited ${this.#slowestAckMs} ms`,
      );
    }
    if (VERBOSE) {
      process.stderr.write(
        JSON.stringify({
          ...this.#options,
          spanCount,
          sent: this.#sentCount,
          accepted: this.#history.acceptedCount,
          openBefore,
          slowestAckMs: this.#slowestAckMs,
        }) + "\n",
      );
    }
    assert.is(this.#openCount, 0, "changes stay unanswered");
    for (const entryId of this.#cluster.entryIds) {
      this.#history.checkComplete(entryId);
    }
    for (const entryId of this.#cluster.entryIds) {
      this.#cluster.crash(entryId);
    }
  }

  async #fillOneDisk(): Promise<void> {
    const { disk } = this.#cluster.find(this.#chooseDisk());
    disk.full = {
      writtenPercent: this.#draw(2) * this.#draw(PERCENT),
      refused: new Set(REFUSABLE.filter(() => this.#draw(3) === 0)),
    };
    disk.isFull = true;
    if (this.#options.hasOtherFaults && this.#draw(4) === 0) {
      const delayMs = this.#draw(1_500);
      disk.beforeOperation = () => this.#cluster.clock.sleep(delayMs);
    }
    await this.#advance(MIN_FULL_MS + this.#draw(MAX_FULL_MS - MIN_FULL_MS));
    disk.isFull = false;
    disk.beforeOperation = undefined;
  }

  #chooseDisk(): string {
    const leaderId = this.#cluster.listLeaders()[0];
    const ids = ENTRY_IDS.slice(0, this.#options.voterCount);
    const drawn = ids[this.#draw(ids.length)] ?? "a";
    return leaderId !== undefined && this.#draw(3) > 0 ? leaderId : drawn;
  }

  async #advance(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      if (this.#draw(2) === 0) {
        this.#send();
      }
      const isFaulty = this.#options.hasOtherFaults && !this.#isCalm;
      if (isFaulty && this.#draw(20) === 0) {
        await this.#takeStep();
      }
      await this.#cluster.clock.advance(STEP_MS);
      this.#history.check();
    }
  }

  #send(): void {
    const replica = this.#cluster.find(this.#chooseEntry()).replica;
    void replica?.propose({ type: "record", records: [] });
    if (this.#openCount >= MAX_OPEN_CHANGES || this.#draw(2) === 0) {
      return;
    }
    this.#openCount += 1;
    this.#sentCount += 1;
    void this.#history.proposeUntilAccepted(() => this.#chooseEntry()).then(
      (ackMs) => {
        this.#openCount -= 1;
        this.#slowestAckMs = Math.max(this.#slowestAckMs, ackMs);
      },
    );
  }

  // One entry at a time is down or cut off.
  async #takeStep(): Promise<void> {
    const { network } = this.#cluster;
    const entryId = this.#chooseEntry();
    if (this.#isDown) {
      this.#isDown = false;
      network.heal();
      return await this.#restartAll();
    }
    switch (this.#draw(4)) {
      case 0:
        this.#isDown = true;
        return this.#cluster.losePower(entryId);
      case 1:
        this.#isDown = true;
        return network.isolate(entryId);
      case 2:
        return void this.#cluster.find(this.#leaderOr(entryId)).replica
          ?.transferLeadership();
      default:
        return network.setDefaults({ jitterMs: this.#draw(50) });
    }
  }

  #leaderOr(entryId: string): string {
    return this.#cluster.listLeaders()[0] ?? entryId;
  }

  async #recover(): Promise<void> {
    this.#cluster.network.setDefaults({});
    this.#cluster.network.heal();
    await this.#restartAll();
    this.#isCalm = true;
  }

  async #restartAll(): Promise<void> {
    for (const { entryId, replica, disk } of this.#cluster.entries.values()) {
      if (replica === undefined && !disk.isFull) {
        assert.is(await this.#cluster.startEntry(entryId), undefined);
      }
    }
  }

  async #checkAcknowledgedEverywhere(): Promise<void> {
    const { clock } = this.#cluster;
    for (const entryId of this.#cluster.entryIds) {
      const before = clock.monotonicMs();
      await clock.runUntil(
        this.#history.proposeUntilAccepted(() => entryId),
        PROPOSE_TIMEOUT_MS,
      );
      assert.ok(
        clock.monotonicMs() - before < PROPOSE_TIMEOUT_MS,
        `${entryId} acknowledges no change`,
      );
    }
    await this.#cluster.clock.advance(PROPOSE_TIMEOUT_MS);
    this.#history.check();
  }

  #chooseEntry(): string {
    const ids = this.#cluster.entryIds;
    return ids[this.#draw(ids.length)] ?? "a";
  }

  #draw(limit: number): number {
    return this.#random.nextInt(Math.max(1, limit));
  }
}

describe("histories of replicas whose disks are full one after another", () => {
  for (const voterCount of [3, 5, 9]) {
    for (const hasOtherFaults of [false, true]) {
      const what = hasOtherFaults ? "beside other faults" : "alone";
      // Guards against changes that are refused or unanswered although no two
      // disks are full at once, and long after the last one has room again.
      it(`acknowledge changes with ${voterCount} disks, full disks ${what}`, async () => {
        for (let run = 0; run < RUN_COUNT; run += 1) {
          const seed = SEED + run;
          try {
            await new DiskHistory({ seed, voterCount, hasOtherFaults }).run();
          } catch (error) {
            throw new Error(`seed ${seed}: ${error}`, { cause: error });
          }
        }
      });
    }
  }
});
