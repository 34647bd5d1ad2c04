/** Writes claims to the replicated log, many in one command. */
import { Result } from "true-myth";
import { type Claim, createFailure, type Failure } from "../../domain/index.ts";
import type { Agreement, Clock, Logger } from "../../ports/index.ts";
import { Notifier } from "../../tasks/index.ts";

/** Time after which a claim that is not durable is given up, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 2_000;
// With a reason, an abort builds no error with a stack for each claim.
const WAIT_ENDED_REASON = "the wait is over";
const RETRY_DELAY_MS = 250;
const MAX_BATCH_COUNT = 500;
const MAX_PENDING_SETTLEMENTS = 20_000;

/** How a claim is settled. */
export interface Settlement {
  readonly state: Exclude<Claim["state"], "running">;
  /** Status of the backend server's answer, when there was one. */
  readonly status?: number | undefined;
}

/** Options of {@link ClaimService}. */
export interface ClaimServiceOptions {
  readonly agreement: Agreement;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Claims in one command at the most; 1 writes each claim alone. */
  readonly maxBatchCount?: number;
}

interface PendingClaim {
  readonly claim: Claim;
  readonly resolve: (existing: Result<Claim, Failure>) => void;
}

/**
 * Takes and settles claims. What comes while a command is on its way to the
 * log goes into the next command, so that an idle entry adds no delay and a
 * busy one writes few commands.
 */
export class ClaimService {
  readonly #options: ClaimServiceOptions;
  readonly #maxBatchCount: number;
  readonly #added = new Notifier();
  #pending: PendingClaim[] = [];
  #settlements = new Map<string, Claim>();

  constructor(options: ClaimServiceOptions) {
    this.#options = options;
    this.#maxBatchCount = options.maxBatchCount ?? MAX_BATCH_COUNT;
  }

  /** Number of settlements that are not durable yet. */
  get pendingSettlementCount(): number {
    return this.#settlements.size;
  }

  /**
   * Finds a claim as applied on this entry.
   *
   * @param claimId - Team, queue and key.
   * @returns The claim, or undefined when none is known here yet.
   */
  find(claimId: string): Claim | undefined {
    return this.#options.agreement.state.findClaim(claimId);
  }

  /**
   * Takes a claim and waits until it is durable.
   *
   * @param claim - The claim, with state `running`.
   * @returns The standing claim, which is another request's when that came
   * first; or a failure, after which the work must not be sent.
   */
  async claim(claim: Claim): Promise<Result<Claim, Failure>> {
    const stop = new AbortController();
    const taken = new Promise<Result<Claim, Failure>>((resolve) => {
      this.#pending.push({ claim, resolve });
    });
    this.#added.notify();
    const timeout = this.#options.clock.sleep(CLAIM_TIMEOUT_MS, stop.signal)
      .then(() => Result.err<Claim, Failure>(createClaimFailure("no answer")));
    const existing = await Promise.race([taken, timeout]);
    stop.abort(WAIT_ENDED_REASON);
    if (existing.isErr) {
      // The claim may become durable all the same; a resend must be able to run.
      this.settle(claim, { state: "notRun" });
    }
    return existing;
  }

  /**
   * Settles a claim in the background, again and again until it is durable.
   *
   * @param claim - The claim that was taken.
   * @param settlement - What became of its request.
   */
  settle(claim: Claim, settlement: Settlement): void {
    const { state, status } = settlement;
    const settled = status === undefined
      ? { ...claim, state }
      : { ...claim, state, status };
    this.#settlements.set(`${claim.claimId} ${claim.requestId}`, settled);
    if (this.#settlements.size > MAX_PENDING_SETTLEMENTS) {
      const oldest = this.#settlements.keys().next();
      this.#settlements.delete(oldest.value ?? "");
    }
    this.#added.notify();
  }

  /**
   * Writes batches until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#pending.length === 0 && this.#settlements.size === 0) {
        await this.#added.wait(signal);
        continue;
      }
      const isDurable = await this.flush(signal);
      if (!isDurable) {
        await this.#options.clock.sleep(RETRY_DELAY_MS, signal);
      }
    }
  }

  /**
   * Writes one batch of what is waiting.
   *
   * @param signal - Ends the wait for the log.
   * @returns False when the batch is not known to be durable.
   */
  async flush(signal?: AbortSignal): Promise<boolean> {
    const taken = this.#pending.splice(0, this.#maxBatchCount);
    const settled = [...this.#settlements.entries()]
      .slice(0, Math.max(0, this.#maxBatchCount - taken.length));
    const claims = [
      ...taken.map(({ claim }) => claim),
      ...settled.map(([, claim]) => claim),
    ];
    if (claims.length === 0) {
      return true;
    }
    const proposed = await this.#propose(claims, signal);
    if (proposed.isErr) {
      const { message } = proposed.error;
      this.#options.logger.warn(
        { failure: proposed.error, claimCount: claims.length },
        "claims are not durable",
      );
      taken.forEach(({ resolve }) =>
        resolve(Result.err(createClaimFailure(message)))
      );
      return false;
    }
    for (const [key, claim] of settled) {
      if (this.#settlements.get(key) === claim) {
        this.#settlements.delete(key);
      }
    }
    taken.forEach(({ resolve }, at) =>
      resolve(getExistingClaim(proposed.value, at))
    );
    return true;
  }

  async #propose(
    claims: readonly Claim[],
    signal?: AbortSignal,
  ): Promise<Result<readonly Claim[], Failure>> {
    const { agreement, clock } = this.#options;
    const stop = new AbortController();
    const either = signal === undefined
      ? stop.signal
      : AbortSignal.any([signal, stop.signal]);
    const timeout = clock.sleep(CLAIM_TIMEOUT_MS, either).then(() => {
      stop.abort(WAIT_ENDED_REASON);
      return Result.err<readonly Claim[], Failure>(
        createClaimFailure("the log did not answer in time"),
      );
    });
    const proposed = agreement.propose(
      { type: "claim", claims: [...claims] },
      either,
    ).then((applied) => applied.map((value) => value.claims ?? []));
    const first = await Promise.race([proposed, timeout]);
    stop.abort(WAIT_ENDED_REASON);
    return first;
  }
}

function getExistingClaim(
  existing: readonly Claim[],
  at: number,
): Result<Claim, Failure> {
  const claim = existing[at];
  return claim === undefined
    ? Result.err(createClaimFailure("the log did not tell what stands"))
    : Result.ok(claim);
}

// Whatever became of the claim, the work itself was certainly not sent.
function createClaimFailure(why: string): Failure {
  return createFailure(
    "peerUnreachable",
    `the claim on the idempotency key is not durable: ${why}`,
    {
      remedy: "send the request again with the same idempotency key",
      retryAfterMs: CLAIM_TIMEOUT_MS,
    },
  );
}
