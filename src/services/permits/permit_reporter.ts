/** Task that reports to the permit coordinator and handles its replies. */
import type { Result } from "true-myth";
import { type Failure, validateWith } from "../../domain/index.ts";
import type { Agreement, Clock, PeerNetwork } from "../../ports/index.ts";
import { Notifier } from "../../tasks/index.ts";
import type { BackendDirectory } from "../backend_directory.ts";
import type { FleetPermitSource } from "./fleet_permit_source.ts";
import type { PermitCoordinator } from "./permit_coordinator.ts";
import {
  GRANT_METHOD,
  permitPushSchema,
  type PermitReply,
  permitReplySchema,
  type PermitReport,
  REPORT_METHOD,
} from "./permit_messages.ts";
import {
  MIN_REPORT_INTERVAL_MS,
  REPORT_BATCH_MS,
  REPORT_INTERVAL_MS,
  REPORT_INTERVAL_WITH_PERMITS_MS,
  REPORT_RETRY_MS,
  REPORT_TIMEOUT_MS,
} from "./permit_times.ts";

/** Options of {@link PermitReporter}. */
export interface PermitReporterOptions {
  readonly entryId: string;
  readonly agreement: Agreement;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly directory: BackendDirectory;
  readonly source: FleetPermitSource;
  /** This entry's own coordinator, used while this entry leads. */
  readonly coordinator: PermitCoordinator;
}

/** Reports wants, returns and announcements, with one report in flight. */
export class PermitReporter {
  readonly #options: PermitReporterOptions;
  readonly #runStartedAtMs: number;
  #sequence = 0;
  #reportedAtMs = -Infinity;
  #coordinatorEntryId: string | undefined;
  #isReportDue = true;
  readonly #wake = new Notifier();

  constructor(options: PermitReporterOptions) {
    const { network, clock, source } = options;
    this.#options = options;
    this.#runStartedAtMs = clock.nowMs();
    network.handle(GRANT_METHOD, (_peerId, body) => {
      const push = validateWith(permitPushSchema, body, {
        subject: GRANT_METHOD,
      });
      return Promise.resolve(push.map((value) => source.handleGrants(value)));
    });
  }

  /**
   * Reports until the signal aborts, then sends a last report that returns the
   * idle permits that may no longer be used.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    void this.#watchChanges(this.#options.source.reportNeeded, signal);
    void this.#watchChanges(this.#options.directory.changed, signal);
    while (!signal.aborted) {
      await this.#waitUntilReportDue(signal);
      await this.#waitForBatch(signal);
      const isAnswered = await this.#exchange();
      if (!isAnswered) {
        await this.#options.clock.sleep(REPORT_RETRY_MS, signal);
      }
    }
    await this.#exchange();
  }

  async #watchChanges(notifier: Notifier, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await notifier.wait(signal);
      this.#isReportDue = true;
      this.#wake.notify();
    }
  }

  async #waitUntilReportDue(signal: AbortSignal): Promise<void> {
    if (this.#isReportDue) {
      return;
    }
    const { clock, source } = this.#options;
    const intervalMs = source.holdings.size > 0
      ? REPORT_INTERVAL_WITH_PERMITS_MS
      : REPORT_INTERVAL_MS;
    const stop = new AbortController();
    const end = () => stop.abort();
    signal.addEventListener("abort", end, { once: true });
    await Promise.race([
      this.#wake.wait(stop.signal),
      clock.sleep(intervalMs, stop.signal),
    ]);
    stop.abort();
    signal.removeEventListener("abort", end);
  }

  async #waitForBatch(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    const remainingMs = this.#reportedAtMs + MIN_REPORT_INTERVAL_MS -
      clock.monotonicMs();
    await clock.sleep(Math.max(REPORT_BATCH_MS, remainingMs), signal);
    this.#reportedAtMs = clock.monotonicMs();
  }

  async #exchange(): Promise<boolean> {
    const { agreement, clock, source } = this.#options;
    const { leaderId } = agreement.status();
    if (leaderId !== this.#coordinatorEntryId) {
      source.view.closeSession();
      this.#coordinatorEntryId = leaderId;
    }
    if (leaderId === undefined) {
      source.view.markUnreachable();
      return false;
    }
    source.returnStale();
    this.#isReportDue = false;
    const sentAtMs = clock.monotonicMs();
    const report = this.#createReport(sentAtMs);
    source.view.markReportSent(sentAtMs);
    const reply = await this.#send(leaderId, report);
    if (reply.isErr) {
      this.#options.directory.markUnrelayed(
        report.announcements.map(({ announcement }) => announcement),
      );
      source.view.markUnreachable();
      this.#isReportDue = true;
      return false;
    }
    this.#handleReply(report, reply.value, sentAtMs);
    return true;
  }

  #handleReply(
    report: PermitReport,
    reply: PermitReply,
    sentAtMs: number,
  ): void {
    const { source, directory } = this.#options;
    source.handleReply(reply, sentAtMs);
    if (reply.mustReopen) {
      this.#isReportDue = true;
      return;
    }
    const isOpening = report.sessionId === undefined;
    directory.applyMemberChanges({ ...reply, replacesAll: isOpening });
    if (isOpening) {
      directory.markAllUnrelayed();
      this.#isReportDue = true;
    }
  }

  #createReport(nowMs: number): PermitReport {
    const { clock, source, directory } = this.#options;
    const { view, holdings, waiting } = source;
    const { sessionId } = view;
    this.#sequence += 1;
    return {
      runStartedAtMs: this.#runStartedAtMs,
      sequence: this.#sequence,
      ...(sessionId === undefined ? {} : { sessionId }),
      held: sessionId === undefined ? holdings.listHeld() : [],
      acknowledgedGrant: sessionId === undefined ? 0 : view.lastGrantNumber,
      returns: [...holdings.returns],
      wants: waiting.listWants(nowMs),
      // The coordinator can compute their age only within an open session.
      announcements: sessionId === undefined ? [] : directory.takeUnrelayed(),
      membershipVersion: sessionId === undefined
        ? 0
        : view.reply?.membershipVersion ?? 0,
      sinceReplyMs: Math.max(0, clock.steadyMs() - view.repliedAtMs),
      repliedAtMs: view.reply?.repliedAtMs ?? 0,
    };
  }

  async #send(
    leaderId: string,
    report: PermitReport,
  ): Promise<Result<PermitReply, Failure>> {
    const { entryId, network, coordinator } = this.#options;
    if (leaderId === entryId) {
      return coordinator.handleReport(entryId, report);
    }
    const answer = await network.call(leaderId, REPORT_METHOD, report, {
      timeoutMs: REPORT_TIMEOUT_MS,
    });
    return answer.andThen((body) =>
      validateWith(permitReplySchema, body, {
        subject: `${REPORT_METHOD} of ${leaderId}`,
        kind: "internal",
      })
    );
  }
}
