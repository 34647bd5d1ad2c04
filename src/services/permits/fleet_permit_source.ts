/** Permit source that obtains permits for this entry from the coordinator. */
import { Result } from "true-myth";
import { createFailure, type Failure } from "../../domain/index.ts";
import type { FleetIndexCache } from "../../decisions/index.ts";
import type { Agreement, Clock } from "../../ports/index.ts";
import { Notifier } from "../../tasks/index.ts";
import type {
  Permit,
  PermitEnd,
  PermitRequest,
  PermitSource,
} from "../permits.ts";
import { CoordinatorView } from "./coordinator_view.ts";
import { createAttemptId } from "./permit_id.ts";
import { type Holding, PermitHoldings } from "./permit_holdings.ts";
import type {
  PermitGrant,
  PermitPush,
  PermitReply,
} from "./permit_messages.ts";
import { IDLE_PERMIT_TIMEOUT_MS, REUSE_WINDOW_MS } from "./permit_times.ts";
import { createWaitFailure } from "./wait_failure.ts";
import { WaitingRequests } from "./waiting_requests.ts";

/** Options of {@link FleetPermitSource}. */
export interface FleetPermitSourceOptions {
  readonly agreement: Agreement;
  readonly clock: Clock;
  readonly fleet: FleetIndexCache;
}

/** Assigns permits from the coordinator to the requests of this entry. */
export class FleetPermitSource implements PermitSource {
  /** This entry's session with the coordinator. */
  readonly view = new CoordinatorView();
  /** Permits that this entry holds. */
  readonly holdings = new PermitHoldings();
  /** Requests that wait on this entry. */
  readonly waiting = new WaitingRequests();
  /** Wakes the reporter when there is something to report. */
  readonly reportNeeded = new Notifier();
  readonly #options: FleetPermitSourceOptions;

  constructor(options: FleetPermitSourceOptions) {
    this.#options = options;
  }

  async acquire(request: PermitRequest): Promise<Result<Permit, Failure>> {
    const nowMs = this.#options.clock.monotonicMs();
    if (request.signal.aborted) {
      return Result.err(createCancelledFailure());
    }
    if (request.waitUntilMs <= nowMs) {
      return Result.err(
        createFailure("expired", "the deadline passed before the work started"),
      );
    }
    return this.#assignIdle(request) ?? await this.#wait(request, nowMs);
  }

  /**
   * Handles the reply to a report.
   *
   * @param reply - The reply.
   * @param reportSentAtMs - Local monotonic time at which the report was sent.
   */
  handleReply(reply: PermitReply, reportSentAtMs: number): void {
    const nowMs = this.#options.clock.steadyMs();
    this.view.applyReply(reply, reportSentAtMs, nowMs);
    this.holdings.confirmReturns(reply.acknowledgedReturn);
    this.handleGrants(reply);
    this.#reassignIdle();
  }

  /**
   * Handles grants that the coordinator has sent.
   *
   * @param push - The grants and their session.
   */
  handleGrants(push: PermitPush): void {
    const nowMs = this.#options.clock.monotonicMs();
    const grants = this.view.acceptNewGrants(push.sessionId, push.grants);
    for (const grant of grants) {
      this.#assignOrKeep(this.holdings.add(grant, nowMs));
    }
    if (grants.length > 0) {
      this.reportNeeded.notify();
    }
  }

  /** Returns the idle permits that may no longer be used. */
  returnStale(): void {
    for (const holding of this.holdings.listAllIdle()) {
      if (!this.#isUsable(holding)) {
        this.#returnPermit(holding, true);
      }
    }
  }

  #assignIdle(request: PermitRequest): Result<Permit, Failure> | undefined {
    const { admission, excludedBackendIds } = request;
    const { teamName, queue } = admission;
    for (const holding of this.holdings.listIdle(teamName, queue.name)) {
      if (!this.#isUsable(holding)) {
        this.#returnPermit(holding, true);
      } else if (!excludedBackendIds.has(holding.grant.backendServerId)) {
        return this.#assign(holding, request);
      }
    }
    return undefined;
  }

  async #wait(
    request: PermitRequest,
    sinceMs: number,
  ): Promise<Result<Permit, Failure>> {
    const { clock } = this.#options;
    const timer = new AbortController();
    const cancel = () => settle(Result.err(createCancelledFailure()));
    let settle: (result: Result<Permit, Failure>) => void = () => undefined;
    const settled = new Promise<Result<Permit, Failure>>((resolve) => {
      settle = resolve;
    });
    const waiting = { request, sinceMs, settle };
    this.waiting.add(waiting);
    request.signal.addEventListener("abort", cancel, { once: true });
    void clock.sleep(request.waitUntilMs - sinceMs, timer.signal).then(() =>
      settle(Result.err(this.#createTimeoutFailure(request)))
    );
    this.reportNeeded.notify();
    const result = await settled;
    this.waiting.remove(waiting);
    timer.abort();
    request.signal.removeEventListener("abort", cancel);
    return result;
  }

  // Without a waiting request, the permit returns to the coordinator soon.
  #assignOrKeep(holding: Holding): void {
    if (!this.#isUsable(holding)) {
      this.#returnPermit(holding, true);
    } else if (!this.#assignToNext(holding)) {
      this.#keepOrReturn(holding);
    }
  }

  #assignToNext(holding: Holding): boolean {
    const { team, queue, backendServerId } = holding.grant;
    for (;;) {
      const next = this.waiting.findFirst(team, queue, backendServerId);
      if (next === undefined) {
        return false;
      }
      this.waiting.remove(next);
      const assigned = this.#assign(holding, next.request);
      next.settle(assigned);
      if (assigned.isOk) {
        return true;
      }
    }
  }

  #keepOrReturn(holding: Holding): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (this.view.allowsReuseUntilLeaseEnd(nowMs)) {
      this.holdings.markIdle(holding);
    } else if (this.view.reply?.contended ?? false) {
      this.#returnPermit(holding, true);
    } else {
      this.holdings.markIdle(holding);
      void this.#returnUnused(holding, holding.attemptCount);
    }
  }

  #reassignIdle(): void {
    for (const holding of this.holdings.listAllIdle()) {
      this.holdings.markBusy(holding);
      this.#assignOrKeep(holding);
    }
  }

  async #returnUnused(holding: Holding, attemptCount: number): Promise<void> {
    await this.#options.clock.sleep(IDLE_PERMIT_TIMEOUT_MS);
    if (holding.isIdle && holding.attemptCount === attemptCount) {
      this.#returnPermit(holding, true);
    }
  }

  #assign(holding: Holding, request: PermitRequest): Result<Permit, Failure> {
    const refusal = request.findRefusal?.();
    if (refusal !== undefined) {
      return Result.err(refusal);
    }
    this.holdings.markBusy(holding);
    holding.attemptCount += 1;
    return Result.ok(this.#createPermit(holding));
  }

  #createPermit(holding: Holding): Permit {
    const { grant, attemptCount } = holding;
    let isReleased = false;
    return {
      attemptId: createAttemptId(grant.permitId, attemptCount),
      backend: grant.backend,
      pool: grant.pool,
      zone: grant.zone,
      leaseMs: grant.runLeaseMs,
      mayStart: () => !isReleased && this.#mayStart(holding),
      release: (end) => {
        if (!isReleased) {
          isReleased = true;
          this.#release(holding, end);
        }
      },
    };
  }

  #release(holding: Holding, { ended }: PermitEnd): void {
    const nowMs = this.#options.clock.monotonicMs();
    const isExcess = !this.view.allowsReuseUntilLeaseEnd(nowMs) &&
      this.view.takeDueReturn(holding.grant.team);
    if (ended && !isExcess) {
      this.#assignOrKeep(holding);
    } else {
      this.#returnPermit(holding, ended);
    }
  }

  #returnPermit(holding: Holding, ended: boolean): void {
    this.holdings.returnPermit(holding, ended);
    this.reportNeeded.notify();
  }

  // Whether the permit may be assigned to another request.
  #isUsable(holding: Holding): boolean {
    const nowMs = this.#options.clock.monotonicMs();
    const isReusable = nowMs < holding.arrivedAtMs + REUSE_WINDOW_MS ||
      this.view.allowsReuseUntilLeaseEnd(nowMs);
    return isReusable && this.#mayStart(holding);
  }

  // Whether an attempt may start under the permit now.
  #mayStart({ grant }: Holding): boolean {
    const { clock, agreement } = this.#options;
    const nowMs = clock.monotonicMs();
    return nowMs < this.view.leaseUntilMs &&
      nowMs < agreement.status().freshUntilMs &&
      this.#isWithinLimit(grant) && this.#isBackendAllowed(grant);
  }

  // A limit that was lowered after the grant applies at once. Waiting for the
  // next report would allow starts beyond it.
  #isWithinLimit({ team, maxRunningCount }: PermitGrant): boolean {
    const limit = this.#options.fleet.current().findTeam(team)?.resource
      .maxRunningCount;
    return maxRunningCount === undefined ||
      (limit !== undefined && limit >= maxRunningCount);
  }

  #isBackendAllowed(
    { backend, pool, queue, backendServerId }: PermitGrant,
  ): boolean {
    const index = this.#options.fleet.current();
    const placed = index.findVm(backend.vm);
    const allowed = index.findQueue(queue);
    const isLeaving = this.view.reply?.leavingBackendIds
      .includes(backendServerId) ?? false;
    return placed?.pool === pool && placed.serving && !isLeaving &&
      index.findZoneOut(placed.vm.resource.zone) === undefined &&
      allowed !== undefined &&
      index.listPools(allowed.resource).some(({ resource }) =>
        resource.name === pool
      );
  }

  #createTimeoutFailure(request: PermitRequest): Failure {
    const nowMs = this.#options.clock.monotonicMs();
    const { reply, leaseUntilMs } = this.view;
    return createWaitFailure(request, {
      index: this.#options.fleet.current(),
      isConnected: nowMs < leaseUntilMs,
      takingOver: reply?.takingOver ?? false,
      limitedTeams: reply?.limitedTeams ?? [],
      unservedQueues: reply?.unservedQueues ?? [],
    });
  }
}

function createCancelledFailure(): Failure {
  return createFailure(
    "cancelled",
    "the caller disconnected before the work started",
  );
}
