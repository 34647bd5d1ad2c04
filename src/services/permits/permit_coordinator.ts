/** Coordinator that grants permits to all entries while this entry leads. */
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
  /** All entries of the deployment, including this one. */
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
  /** Delivers grants to this entry itself, without the network. */
  readonly pushToSelf: (push: PermitPush) => void;
}

interface CoordinatorTerm {
  readonly term: number;
  readonly leaderSinceMs: number;
  readonly ledger: PermitLedger;
}

/** Answers reports from a ledger that exists for one term of leadership. */
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

  /** Counts the permits of a team; undefined unless this entry leads. */
  countTeam(team: string): number | undefined {
    return this.#findLedger()?.countTeam(team);
  }

  /**
   * Answers a report of an entry.
   *
   * @param entryId - Authenticated id of the entry.
   * @param report - The report.
   * @returns The reply, or `notLeader` when this entry is not the confirmed
   * leader.
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
   * Checks for expired leases until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(SWEEP_INTERVAL_MS, signal);
      this.#findLedger()?.sweep();
    }
  }

  // A leader that is not confirmed grants nothing but keeps its ledger, because
  // the counts stay valid if the same leadership is confirmed again.
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
    logger.info({ coordinatorId }, "this entry is now the permit coordinator");
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

  // Each session has its own task, so a slow or failed entry delays no other.
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
