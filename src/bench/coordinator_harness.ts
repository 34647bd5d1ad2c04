/** Runs the permit coordinator in this process, for any number of workers. */
import { SystemClock } from "../adapters/clock/index.ts";
import {
  FleetIndexCache,
  TwoChoicesPicker,
  WeightedMaxMinAllocator,
} from "../decisions/index.ts";
import type { Announcement, Change } from "../domain/index.ts";
import type { Random } from "../ports/index.ts";
import type {
  PermitReply,
  PermitReport,
  RelayedAnnouncement,
} from "../services/permits/permit_messages.ts";
import { PermitLedger } from "../services/permits/permit_ledger.ts";
import { FakeAgreement } from "../testing/fake_agreement.ts";

const ENTRY_ID = "entry-1";
const VMS_PER_CHANGE = 2_000;
const VMS_PER_POOL = 89;
const SLOT_COUNT = 8;
const CONNECTION_COUNT = 64;
/**
 * How long the coordinator has led, which is beyond its takeover, and how long its
 * state stays fresh.
 */
const SETTLED_MS = 600_000;
const TEAM_LIMIT = 100_000;
const QUEUE = "queue-1";
const TEAM = "team-1";

/** A generated fleet, and the permit ledger that places work on it. */
export class CoordinatorHarness {
  readonly agreement: FakeAgreement;
  readonly ledger: PermitLedger;
  readonly fleet: FleetIndexCache;
  readonly workerCount: number;
  readonly #clock = new SystemClock();
  #sequence = 0;
  #reply: PermitReply | undefined;
  #grantNumber = 0;
  #returnNumber = 0;

  constructor(workerCount: number, random: Random) {
    this.workerCount = workerCount;
    this.agreement = new FakeAgreement(this.#clock);
    this.agreement.freshUntilMs = this.#clock.monotonicMs() + SETTLED_MS;
    this.#declareFleet();
    this.fleet = new FleetIndexCache(() => this.agreement.state);
    this.ledger = new PermitLedger({
      coordinatorId: "1.bench",
      leaderSinceMs: this.#clock.monotonicMs() - SETTLED_MS,
      entryIds: [ENTRY_ID],
      agreement: this.agreement,
      clock: this.#clock,
      fleet: this.fleet,
      allocator: new WeightedMaxMinAllocator(),
      picker: new TwoChoicesPicker(random),
      onSession: () => undefined,
    });
  }

  /** Reports the announcements of all workers at once. */
  announceAll(): void {
    const announcements = Array.from(
      { length: this.workerCount },
      (_, index): RelayedAnnouncement => ({
        announcement: this.#createAnnouncement(index),
        ageMs: 0,
      }),
    );
    this.#report({ announcements });
  }

  /**
   * Requests one permit and returns it in the next report.
   *
   * @returns The number of granted permits.
   */
  placeAndReturnOne(): number {
    const reply = this.#report({
      wants: [{
        team: TEAM,
        queue: QUEUE,
        count: 1,
        oldestWaitMs: 1,
        excludedBackendIds: [],
      }],
    });
    const granted = reply.grants.filter(({ grantNumber }) =>
      grantNumber > this.#grantNumber
    );
    this.#grantNumber = granted.at(-1)?.grantNumber ?? this.#grantNumber;
    const returns = granted.map((grant) => {
      this.#returnNumber += 1;
      return {
        ...grant,
        returnNumber: this.#returnNumber,
        ended: true,
        attemptCount: 1,
      };
    });
    this.#report({ returns });
    return granted.length;
  }

  #report(parts: Partial<PermitReport>): PermitReply {
    this.#sequence += 1;
    this.#reply = this.ledger.handleReport(ENTRY_ID, {
      runStartedAtMs: 1,
      sequence: this.#sequence,
      held: [],
      acknowledgedGrant: this.#grantNumber,
      returns: [],
      wants: [],
      announcements: [],
      membershipVersion: this.#reply?.membershipVersion ?? 0,
      sinceReplyMs: 0,
      repliedAtMs: this.#clock.monotonicMs(),
      ...(this.#reply === undefined
        ? {}
        : { sessionId: this.#reply.sessionId }),
      ...parts,
    });
    return this.#reply;
  }

  #createAnnouncement(index: number): Announcement {
    return {
      backendServerId: `vm-${index}-runner`,
      sequence: this.#sequence + 1,
      vm: `vm-${index}`,
      host: "127.0.0.1",
      port: 1_024 + index,
      slotCount: SLOT_COUNT,
      connectionCount: CONNECTION_COUNT,
      leaving: false,
      running: [],
    };
  }

  #declareFleet(): void {
    this.#apply([
      { kind: "zone", name: "zone-1", labels: {}, region: "region-1" },
      {
        kind: "team",
        name: TEAM,
        labels: {},
        share: 1,
        maxRunningCount: TEAM_LIMIT,
      },
      {
        kind: "queue",
        name: QUEUE,
        labels: {},
        poolSelector: {},
        openToAll: true,
        priority: 0,
        maxWaitMs: 2_000,
        maxRunMs: 30_000,
      },
    ]);
    const poolCount = Math.max(5, Math.ceil(this.workerCount / VMS_PER_POOL));
    this.#apply(Array.from({ length: poolCount }, (_, index) => ({
      kind: "pool" as const,
      name: `pool-${index}`,
      labels: {},
      vmSelector: { pool: [`pool-${index}`] },
      spare: false,
      budgets: [],
    })));
    for (let first = 0; first < this.workerCount; first += VMS_PER_CHANGE) {
      const count = Math.min(VMS_PER_CHANGE, this.workerCount - first);
      this.#apply(Array.from({ length: count }, (_, offset) => ({
        kind: "vm" as const,
        name: `vm-${first + offset}`,
        labels: { pool: `pool-${(first + offset) % poolCount}` },
        zone: "zone-1",
        rack: `rack-${Math.floor((first + offset) / 4)}`,
      })));
    }
  }

  #apply(puts: Change["puts"]): void {
    const { state } = this.agreement;
    const applied = state.apply({
      type: "change",
      change: {
        operationId: `operation-${state.revision}`,
        expectedRevision: state.revision,
        puts,
        deletes: [],
      },
      operator: "bench",
      atMs: 0,
    });
    if (applied.isErr) {
      throw new Error(applied.error.message);
    }
  }
}
