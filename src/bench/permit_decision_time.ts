/** Measures how the time of one coordinator decision grows with the fleet. */
import { SeededRandom } from "../adapters/random/index.ts";
import {
  FleetIndexCache,
  TwoChoicesPicker,
  WeightedMaxMinAllocator,
} from "../decisions/index.ts";
import type { Clock } from "../ports/index.ts";
import { PermitLedger, type PermitReport } from "../services/index.ts";
import { FakeAgreement, FakeClock } from "../testing/index.ts";
import { createSimulatedState } from "./simulated_deployment.ts";

const SLOT_COUNT = 8;
const DECISION_COUNT = 2_000;
const SETTLE_MS = 5_000;
const MICROSECONDS_PER_MS = 1_000;

interface FleetSize {
  readonly backendCount: number;
  readonly teamCount: number;
}

/**
 * Measures the time to handle the return of a permit and to grant the next one,
 * on a full fleet where every team waits.
 *
 * @param clock - Clock of the machine.
 * @returns Microseconds per decision, by fleet size.
 */
export function measureDecisionTimes(clock: Clock) {
  // The first run is discarded, since it includes just-in-time compilation.
  measureDecisionTime(clock, { backendCount: 10, teamCount: 6 });
  return {
    decisionUs10Servers6Teams: measureDecisionTime(clock, {
      backendCount: 10,
      teamCount: 6,
    }),
    decisionUs1000Servers6Teams: measureDecisionTime(clock, {
      backendCount: 1_000,
      teamCount: 6,
    }),
    decisionUs10Servers320Teams: measureDecisionTime(clock, {
      backendCount: 10,
      teamCount: 320,
    }),
    decisionUs1000Servers320Teams: measureDecisionTime(clock, {
      backendCount: 1_000,
      teamCount: 320,
    }),
  };
}

function measureDecisionTime(clock: Clock, size: FleetSize): number {
  const entry = new SimulatedEntry(size);
  entry.acquireAllSlots();
  const startedMs = clock.monotonicMs();
  for (let count = 0; count < DECISION_COUNT; count += 1) {
    entry.replaceOnePermit();
  }
  const tookMs = clock.monotonicMs() - startedMs;
  return Math.round(tookMs * MICROSECONDS_PER_MS / DECISION_COUNT * 10) / 10;
}

/** Sends reports to a permit ledger as an entry does, without background tasks. */
class SimulatedEntry {
  readonly #clock = new FakeClock();
  readonly #size: FleetSize;
  readonly #ledger: PermitLedger;
  readonly #held: PermitReport["held"] = [];
  #sessionId: string | undefined;
  #sequence = 0;
  #lastGrantNumber = 0;
  #returnCount = 0;
  #membershipVersion = 0;

  constructor(size: FleetSize) {
    const teams = Array.from({ length: size.teamCount }, (_, index) => ({
      name: `team-${index}`,
      share: 1 + index % 4,
      maxRunningCount: size.backendCount * SLOT_COUNT,
    }));
    const state = createSimulatedState({ ...size, teams });
    const agreement = Object.assign(new FakeAgreement(this.#clock), { state });
    this.#size = size;
    this.#ledger = new PermitLedger({
      coordinatorId: "1.simulated",
      leaderSinceMs: -SETTLE_MS,
      entryIds: ["entry-1"],
      agreement,
      clock: this.#clock,
      fleet: new FleetIndexCache(() => state),
      allocator: new WeightedMaxMinAllocator(),
      picker: new TwoChoicesPicker(new SeededRandom(1)),
      onSession: () => undefined,
    });
  }

  /** Opens a session and acquires permits for all slots. */
  acquireAllSlots(): void {
    this.#report([]);
    const { backendCount } = this.#size;
    const announcements = Array.from({ length: backendCount }, (_, index) => ({
      ageMs: 0,
      announcement: {
        backendServerId: `server-${index}`,
        sequence: 1,
        vm: `vm-${index}`,
        host: "127.0.0.1",
        port: 1,
        slotCount: SLOT_COUNT,
        connectionCount: SLOT_COUNT,
        leaving: false,
        running: [],
      },
    }));
    this.#report([], announcements);
    if (this.#held.length !== backendCount * SLOT_COUNT) {
      throw new Error(`only ${this.#held.length} permits were granted`);
    }
  }

  /** Returns one permit and receives the one that is granted in its place. */
  replaceOnePermit(): void {
    const permit = this.#held.shift();
    if (permit === undefined) {
      throw new Error("there is no permit to return");
    }
    this.#returnCount += 1;
    const returnNumber = this.#returnCount;
    this.#report([{ ...permit, returnNumber, ended: true, attemptCount: 1 }]);
  }

  #report(
    returns: PermitReport["returns"],
    announcements: PermitReport["announcements"] = [],
  ): void {
    this.#sequence += 1;
    const reply = this.#ledger.handleReport("entry-1", {
      runStartedAtMs: 0,
      sequence: this.#sequence,
      ...(this.#sessionId === undefined ? {} : { sessionId: this.#sessionId }),
      held: [],
      acknowledgedGrant: this.#lastGrantNumber,
      returns,
      wants: this.#listWants(),
      announcements,
      membershipVersion: this.#membershipVersion,
      sinceReplyMs: SETTLE_MS,
      repliedAtMs: 0,
    });
    this.#sessionId = reply.sessionId;
    this.#membershipVersion = reply.membershipVersion;
    for (const { grantNumber, ...grant } of reply.grants) {
      this.#lastGrantNumber = grantNumber;
      this.#held.push(grant);
    }
  }

  #listWants(): PermitReport["wants"] {
    const { teamCount, backendCount } = this.#size;
    return Array.from({ length: teamCount }, (_, index) => ({
      team: `team-${index}`,
      queue: "jobs",
      count: backendCount * SLOT_COUNT,
      oldestWaitMs: index,
      excludedBackendIds: [],
    }));
  }
}
