/** Writes claims to the replicated log in batches. */
import { Result } from "true-myth";
import { type Claim, createFailure, type Failure } from "../../domain/index.ts";
import type { Agreement, Clock, Logger } from "../../ports/index.ts";
import { Notifier } from "../../tasks/index.ts";

/** Timeout for making a claim durable, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 2_000;
// Without a reason, `abort()` would build an error with a stack trace for each
// claim.
const WAIT_OVER = "the wait is over";
const RETRY_DELAY_MS = 250;
const MAX_BATCH_COUNT = 500;
const MAX_PENDING_SETTLEMENTS = 20_000;

/** Final state of a claim. */
export interface Settlement {
  readonly state: Exclude<Claim["state"], "running">;
  /** HTTP status of the backend server's answer, if there was one. */
  readonly status?: number | undefined;
}

/** Options of {@link ClaimService}. */
export interface ClaimServiceOptions {
  readonly agreement: Agreement;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Maximum number of claims in one command; 1 disables batching. */
  readonly maxBatchCount?: number;
}

interface PendingClaim {
  readonly claim: Claim;
  readonly resolve: (existing: Result<Claim, Failure>) => void;
}

/**
 * Takes and settles claims. Claims that arrive while a command is being written
 * to the log go into the next command. An idle entry therefore adds no delay,
 * and a busy one writes few commands.
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

  /** Number of settlements that are not known to be durable. */
  get pendingSettlementCount(): number {
    return this.#settlements.size;
  }

  /**
   * Finds a claim in the state applied on this entry.
   *
   * @param claimId - Id of the claim: team, queue and key.
   * @returns The claim, or undefined when this entry has not applied one.
   */
  find(claimId: string): Claim | undefined {
    return this.#options.agreement.state.findClaim(claimId);
  }

  /**
   * Takes a claim and waits until it is durable.
   *
   * @param claim - The claim, with state `running`.
   * @returns The claim in force, which belongs to another request when that one
   * came first; or a failure, after which the work must not be sent.
   */
  async claim(claim: Claim): Promise<Result<Claim, Failure>> {
    const stop = new AbortController();
    const taken = new Promise<Result<Claim, Failure>>((resolve) => {
      this.#pending.push({ claim, resolve });
    });
    this.#added.notify();
    const timeout = this.#options.clock.sleep(CLAIM_TIMEOUT_MS, stop.signal)
      .then(() =>
        Result.err<Claim, Failure>(createClaimFailure("no answer in time"))
      );
    const existing = await Promise.race([taken, timeout]);
    stop.abort(WAIT_OVER);
    if (existing.isErr) {
      // The claim may still become durable, and a resend must be able to run.
      this.settle(claim, { state: "notRun" });
    }
    return existing;
  }

  /**
   * Settles a claim in the background and retries until the new state is durable.
   *
   * @param claim - The claim that was taken.
   * @param settlement - Final state of the claim's request.
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
   * Writes one batch of pending claims and settlements.
   *
   * @param signal - Aborts the wait for the log.
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
        "could not make claims durable",
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
      stop.abort(WAIT_OVER);
      return Result.err<readonly Claim[], Failure>(
        createClaimFailure("the replicated log did not answer in time"),
      );
    });
    const proposed = agreement.propose(
      { type: "claim", claims: [...claims] },
      either,
    ).then((applied) => applied.map((value) => value.claims ?? []));
    const first = await Promise.race([proposed, timeout]);
    stop.abort(WAIT_OVER);
    return first;
  }
}

function getExistingClaim(
  existing: readonly Claim[],
  at: number,
): Result<Claim, Failure> {
  const claim = existing[at];
  return claim === undefined
    ? Result.err(
      createClaimFailure(
        "the replicated log did not return the claim in force",
      ),
    )
    : Result.ok(claim);
}

// The claim may or may not have become durable, but the work was not sent.
function createClaimFailure(why: string): Failure {
  return createFailure(
    "peerUnreachable",
    `the claim on the idempotency key could not be made durable: ${why}`,
    {
      remedy: "send the request again with the same idempotency key",
      retryAfterMs: CLAIM_TIMEOUT_MS,
    },
  );
}
