/** Grants permits to all entries while this entry is the leader. */
import { Result } from "true-myth";
import {
  createFailure,
  type Failure,
  validateWith,
} from "../../domain/index.ts";
import type {
  BackendPicker,
  FleetIndexCache,
  ShareAllocator,
} from "../../decisions/index.ts";
import type {
  Agreement,
  Clock,
  Logger,
  PeerNetwork,
  Random,
} from "../../ports/index.ts";
import type { TaskGroup } from "../../tasks/index.ts";
import type { EntrySession } from "./entry_session.ts";
import { PermitLedger } from "./permit_ledger.ts";
import {
  GRANT_METHOD,
  type PermitPush,
  type PermitReply,
  type PermitReport,
  permitReportSchema,
  REPORT_METHOD,
} from "./permit_messages.ts";
import {
  REPORT_RETRY_MS,
  REPORT_TIMEOUT_MS,
  SWEEP_INTERVAL_MS,
} from "./permit_times.ts";

const COORDINATOR_ID_LENGTH = 6;

/** Options of {@link PermitCoordinator}. */
export interface PermitCoordinatorOptions {
  readonly entryId: string;
  /** All entries of the deployment, this one included. */
  readonly entryIds: readonly string[];
  readonly agreement: Agreement;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly tasks: TaskGroup;
  readonly fleet: FleetIndexCache;
  readonly allocator: ShareAllocator;
  readonly picker: BackendPicker;
  /** Hands grants to this entry itself. */
  readonly pushToSelf: (push: PermitPush) => void;
}

interface CoordinatorTerm {
  readonly term: number;
  readonly leaderSinceMs: number;
  readonly ledger: PermitLedger;
}

/** Answers reports with a ledger that lives as long as the leadership. */
export class PermitCoordinator {
  readonly #options: PermitCoordinatorOptions;
  #term: CoordinatorTerm | undefined;

  constructor(options: PermitCoordinatorOptions) {
    this.#options = options;
    options.network.handle(
      REPORT_METHOD,
      (peerId, body) =>
        Promise.resolve(
          validateWith(permitReportSchema, body, { subject: REPORT_METHOD })
            .andThen((report) => this.handleReport(peerId, report)),
        ),
    );
  }

  /** Counts the permits of a team; undefined on entries that do not lead. */
  countTeam(team: string): number | undefined {
    return this.#findLedger()?.countTeam(team);
  }

  /**
   * Takes in a report of an entry.
   *
   * @param entryId - The entry, as authenticated.
   * @param report - The report.
   * @returns The answer, or `notLeader` when this entry must not grant.
   */
  handleReport(
    entryId: string,
    report: PermitReport,
  ): Result<PermitReply, Failure> {
    const ledger = this.#findLedger();
    return ledger === undefined
      ? Result.err(
        createFailure(
          "notLeader",
          `${this.#options.entryId} is not the confirmed leader`,
        ),
      )
      : Result.ok(ledger.handleReport(entryId, report));
  }

  /**
   * Watches leases until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(SWEEP_INTERVAL_MS, signal);
      this.#findLedger()?.sweep();
    }
  }

  // A leader without a confirmed lease grants nothing, but keeps its ledger: it
  // still counts when the same leadership is confirmed again.
  #findLedger(): PermitLedger | undefined {
    const { agreement, clock } = this.#options;
    const { term, leaderSinceMs, freshUntilMs } = agreement.status();
    if (leaderSinceMs === undefined || freshUntilMs <= clock.monotonicMs()) {
      return undefined;
    }
    const isSame = this.#term?.term === term &&
      this.#term.leaderSinceMs === leaderSinceMs;
    if (!isSame) {
      const ended = this.#term;
      const ledger = this.#createLedger(leaderSinceMs);
      this.#term = { term, leaderSinceMs, ledger };
      ended?.ledger.close();
    }
    return this.#term?.ledger;
  }

  #createLedger(leaderSinceMs: number): PermitLedger {
    const { random, agreement, tasks, logger } = this.#options;
    const nonce = random.nextId().slice(0, COORDINATOR_ID_LENGTH);
    const coordinatorId = `${agreement.status().term}.${nonce}`;
    logger.info({ coordinatorId }, "this entry coordinates the permits");
    const ledger: PermitLedger = new PermitLedger({
      ...this.#options,
      coordinatorId,
      leaderSinceMs,
      onSession: (session) =>
        tasks.start(
          `grants to ${session.entryId}`,
          (signal) => this.#sendGrants(ledger, session, signal),
        ),
    });
    return ledger;
  }

  // One task for each session: a slow or dead entry delays no other.
  async #sendGrants(
    ledger: PermitLedger,
    session: EntrySession,
    signal: AbortSignal,
  ): Promise<void> {
    const isCurrent = () =>
      !signal.aborted && this.#term?.ledger === ledger &&
      ledger.findSession(session.entryId) === session;
    while (isCurrent()) {
      if (!session.hasUndelivered) {
        await session.granted.wait(signal);
        continue;
      }
      session.markDelivered();
      const { sessionId, outbox: grants } = session;
      const isDelivered = await this.#push(
        session.entryId,
        { sessionId, grants: [...grants] },
        signal,
      );
      if (!isDelivered) {
        session.markLost();
        await this.#options.clock.sleep(REPORT_RETRY_MS, signal);
      }
    }
  }

  async #push(
    entryId: string,
    push: PermitPush,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { network, pushToSelf } = this.#options;
    if (entryId === this.#options.entryId) {
      pushToSelf(push);
      return true;
    }
    const options = { timeoutMs: REPORT_TIMEOUT_MS, signal };
    const answer = await network.call(entryId, GRANT_METHOD, push, options);
    return answer.isOk;
  }
}
