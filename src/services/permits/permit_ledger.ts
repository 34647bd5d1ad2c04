/** State and decisions of the permit coordinator during one term. */
import type {
  BackendPicker,
  FleetIndex,
  FleetIndexCache,
  ShareAllocator,
} from "../../decisions/index.ts";
import type { Agreement, Clock } from "../../ports/index.ts";
import { ANNOUNCEMENT_TTL_MS } from "../backend_directory.ts";
import { createGrant } from "./create_grant.ts";
import { Demand } from "./demand.ts";
import type { EntrySession, EntryWant } from "./entry_session.ts";
import { type FoundSlot, GrantRounds } from "./grant_round.ts";
import { MembershipLog } from "./membership_log.ts";
import type {
  PermitReply,
  PermitReport,
  RelayedAnnouncement,
  ReturnedPermit,
} from "./permit_messages.ts";
import { PermitTable } from "./permit_table.ts";
import { PERMIT_LEASE_MS } from "./permit_times.ts";
import { isStaleReport, SessionRegistry } from "./session_registry.ts";
import { SlotTable } from "./slot_table.ts";
import { Takeover } from "./takeover.ts";

const REMOVE_BACKEND_AFTER_MS = 120_000;

/** Options of {@link PermitLedger}. */
export interface PermitLedgerOptions {
  readonly coordinatorId: string;
  readonly leaderSinceMs: number;
  readonly entryIds: readonly string[];
  readonly agreement: Agreement;
  readonly clock: Clock;
  readonly fleet: FleetIndexCache;
  readonly allocator: ShareAllocator;
  readonly picker: BackendPicker;
  /** Called for each new session; must start the task that sends its grants. */
  readonly onSession: (session: EntrySession) => void;
}

/** Counts and grants permits while this entry is the coordinator. */
export class PermitLedger {
  readonly #options: PermitLedgerOptions;
  readonly #sessions: SessionRegistry;
  readonly #demand = new Demand();
  readonly #members = new MembershipLog();
  readonly #table: PermitTable;
  readonly #slots: SlotTable;
  readonly #takeover: Takeover;
  readonly #rounds: GrantRounds;
  #index: FleetIndex;
  #permitCount = 0;
  #unknownCount = 0;
  #excesses = new Map<string, number>();

  constructor(options: PermitLedgerOptions) {
    const { coordinatorId, leaderSinceMs, entryIds, picker } = options;
    this.#options = options;
    this.#index = options.fleet.current();
    this.#table = new PermitTable({
      onSlotsChanged: (id) => this.#slots.updateFreeSlots(id),
    });
    this.#takeover = new Takeover({
      coordinatorId,
      leaderSinceMs,
      entryIds,
      table: this.#table,
    });
    this.#sessions = new SessionRegistry({
      coordinatorId,
      table: this.#table,
      onOpen: (session) => {
        this.#takeover.markEntryReported(session.entryId, session.openedAtMs);
        options.onSession(session);
      },
      onClose: (session) => this.#demand.remove(session),
    });
    this.#slots = new SlotTable(this.#index, {
      picker,
      countUsedSlots: (id) => this.#table.countBackend(id),
      findVerifiedFromMs: () => this.#takeover.verifiedFromMs,
    });
    this.#rounds = new GrantRounds({
      allocator: options.allocator,
      demand: this.#demand,
      table: this.#table,
      slots: this.#slots,
      entryCount: entryIds.length,
      countUnknown: () => this.#unknownCount,
      grant: (want, found) => this.#grant(want, found),
    });
  }

  /** Number of counted permits. */
  get permitCount(): number {
    return this.#table.size;
  }

  /** Finds the session of an entry. */
  findSession(entryId: string): EntrySession | undefined {
    return this.#sessions.find(entryId);
  }

  /** Counts the permits of a team over the whole fleet. */
  countTeam(team: string): number {
    return this.#table.countTeam(team);
  }

  /**
   * Applies a report of an entry and creates the reply.
   *
   * @param entryId - Entry that sent the report.
   * @param report - The report. An outdated or duplicate one changes nothing.
   * @returns Grants, the lease, and the reasons for refusals.
   */
  handleReport(entryId: string, report: PermitReport): PermitReply {
    const nowMs = this.#options.clock.steadyMs();
    this.#refreshIndex(nowMs);
    const session = this.#sessions.findOrOpen(entryId, report, nowMs);
    if (session === undefined) {
      return this.#createReply(undefined, report, nowMs);
    }
    if (!isStaleReport(session, report)) {
      this.#apply(session, report, nowMs);
      this.runGrantRound();
      session.markDelivered();
    }
    return this.#createReply(session, report, nowMs);
  }

  /** Wakes the tasks that send grants so that they end. */
  close(): void {
    this.#sessions.wakeAll();
  }

  /** Grants the slots that are free now. */
  runGrantRound(): void {
    const nowMs = this.#options.clock.steadyMs();
    this.#rounds.run(this.#index, nowMs);
    this.#excesses = this.#rounds.findExcesses(this.#index);
  }

  /** Processes expired leases and backend servers that stopped announcing. */
  sweep(): void {
    const nowMs = this.#options.clock.steadyMs();
    this.#sessions.closeLapsed(nowMs);
    this.#table.freeExpired(nowMs);
    this.#removeSilentBackends(nowMs);
    this.#index = this.#options.fleet.current();
    this.#slots.refreshAll(this.#index, nowMs);
    this.#countUnknown(nowMs);
    this.runGrantRound();
  }

  #apply(session: EntrySession, report: PermitReport, nowMs: number): void {
    session.lastSequence = report.sequence;
    session.lastReportAtMs = nowMs;
    session.confirmGrants(report.acknowledgedGrant);
    for (const returned of report.returns) {
      this.#applyReturn(session, returned, nowMs);
    }
    for (const relayed of report.announcements) {
      this.#applyAnnouncement(relayed, report, nowMs);
    }
    this.#demand.remove(session);
    session.replaceWants(report, nowMs);
    this.#demand.add(session);
    if (report.announcements.length > 0) {
      this.#countUnknown(nowMs);
    }
  }

  #applyReturn(
    session: EntrySession,
    returned: ReturnedPermit,
    nowMs: number,
  ): void {
    if (returned.returnNumber <= session.acknowledgedReturn) {
      return;
    }
    session.acknowledgedReturn = returned.returnNumber;
    this.#takeover.recordReturn(returned.permitId);
    const known = this.#table.find(returned.permitId);
    if (returned.ended) {
      this.#table.free(returned.permitId);
      return;
    }
    const record = known ?? this.#table.add(returned, session.entryId);
    const { attemptCount } = returned;
    this.#table.markOrphaned(record, { sentUntilMs: nowMs, attemptCount });
  }

  #applyAnnouncement(
    { announcement, ageMs }: RelayedAnnouncement,
    report: PermitReport,
    nowMs: number,
  ): void {
    // The report may have been delayed in transit. Its send time is derived
    // from the last reply, so the announcement never looks newer than it is.
    const sentAtMs = Math.min(nowMs, report.repliedAtMs + report.sinceReplyMs);
    const receivedAtMs = sentAtMs - ageMs;
    const { backendServerId } = announcement;
    if (this.#slots.accept(announcement, receivedAtMs, nowMs)) {
      const pool = this.#slots.find(backendServerId)?.pool ?? "";
      this.#members.record(announcement);
      this.#table.applyAnnouncement(announcement, receivedAtMs);
      this.#takeover.adopt(announcement, pool, this.#findMaxRunMs(), nowMs);
    }
  }

  #grant(want: EntryWant, found: FoundSlot): void {
    const { coordinatorId } = this.#options;
    this.#permitCount += 1;
    const grant = createGrant(want, found, {
      coordinatorId,
      permitNumber: this.#permitCount,
      maxRunningCount: this.#index.findTeam(want.team)?.resource
        .maxRunningCount,
    });
    this.#table.add(grant, want.session.entryId);
    want.session.addGrant(grant);
  }

  #createReply(
    session: EntrySession | undefined,
    report: PermitReport,
    nowMs: number,
  ): PermitReply {
    const teams = new Set(session?.wants.map(({ team }) => team));
    const queues = new Set(session?.wants.map(({ queue }) => queue));
    const { freshUntilMs } = this.#options.agreement.status();
    const confirmedMs = freshUntilMs - this.#options.clock.monotonicMs();
    return {
      sessionId: session?.sessionId ?? "",
      mustReopen: session === undefined,
      repliedAtMs: nowMs,
      // No lease may outlive the last confirmation of the leadership.
      leaseMs: Math.max(0, Math.min(PERMIT_LEASE_MS, confirmedMs)),
      acknowledgedReturn: session?.acknowledgedReturn ?? 0,
      grants: [...(session?.outbox ?? [])],
      limitedTeams: [...teams].filter((team) =>
        this.#rounds.isLimited(this.#index, team)
      ),
      unservedQueues: [...queues].filter((queue) => !this.#isServed(queue)),
      contended: !this.#demand.listTeams().next().done,
      excesses: [...this.#excesses].map(([team, fraction]) => ({
        team,
        fraction,
      })),
      takingOver: this.#takeover.isRunning(nowMs),
      ...this.#members.listSince(report.membershipVersion),
      leavingBackendIds: this.#slots.listLeaving(),
    };
  }

  #isServed(queueName: string): boolean {
    const queue = this.#index.findQueue(queueName)?.resource;
    const pools = queue === undefined ? [] : this.#index.listPools(queue);
    return pools.some(({ resource }) => this.#slots.isServed(resource.name));
  }

  #refreshIndex(nowMs: number): void {
    const index = this.#options.fleet.current();
    if (index !== this.#index) {
      this.#index = index;
      this.#slots.refreshAll(index, nowMs);
    }
  }

  #countUnknown(nowMs: number): void {
    this.#unknownCount = this.#takeover.countUnknown(
      this.#slots,
      this.#findMaxRunMs(),
      nowMs,
    );
  }

  #findMaxRunMs(): number {
    const queues = this.#options.agreement.state.list("queue");
    return Math.max(0, ...queues.map(({ resource }) => resource.maxRunMs));
  }

  #removeSilentBackends(nowMs: number): void {
    for (
      const { announcement, receivedAtMs } of this.#slots.listAll()
    ) {
      const { backendServerId } = announcement;
      const silentMs = nowMs - receivedAtMs;
      if (silentMs > ANNOUNCEMENT_TTL_MS) {
        this.#members.recordSilent(backendServerId);
      }
      if (silentMs > REMOVE_BACKEND_AFTER_MS) {
        this.#slots.remove(backendServerId);
        this.#table.removeListedAttempts(backendServerId);
      }
    }
  }
}
