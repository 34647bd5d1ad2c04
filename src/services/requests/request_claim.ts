/** Takes and settles the claim of one request on its idempotency key. */
import { Result } from "true-myth";
import type { Claim, Failure } from "../../domain/index.ts";
import type { Clock } from "../../ports/index.ts";
import {
  type ClaimService,
  type ReplayedOutcome,
  resolveReplay,
  type Settlement,
} from "../claims/index.ts";

/** Outcome of the first request, with which a resend is answered. */
export type Replay = Result<ReplayedOutcome, Failure>;

/** Options of {@link RequestClaim}. */
export interface RequestClaimOptions {
  readonly service: ClaimService;
  readonly clock: Clock;
  /** The claim to take, with state `running`. */
  readonly claim: Claim;
}

/**
 * The claim of one request. It is taken before the first attempt is sent and
 * settled when the outcome is known.
 */
export class RequestClaim {
  readonly #options: RequestClaimOptions;
  #isHeld = false;
  #isSettled = false;

  constructor(options: RequestClaimOptions) {
    this.#options = options;
  }

  /**
   * Finds an earlier request with the same idempotency key on this entry.
   *
   * @returns Its outcome, or undefined when this entry knows no such request.
   */
  findReplay(): Replay | undefined {
    const { service, claim } = this.#options;
    const known = service.find(claim.claimId);
    return known === undefined || known.state === "notRun"
      ? undefined
      : this.#resolve(known);
  }

  /**
   * Takes the claim. Has no effect when this request already holds it.
   *
   * @returns Undefined when the work may run, otherwise the answer for the
   * caller.
   */
  async take(): Promise<Replay | undefined> {
    if (this.#isHeld) {
      return undefined;
    }
    const { service, claim } = this.#options;
    const current = await service.claim(claim);
    if (current.isErr) {
      return Result.err(current.error);
    }
    if (current.value.requestId !== claim.requestId) {
      return this.#resolve(current.value);
    }
    this.#isHeld = true;
    return undefined;
  }

  /**
   * Settles the claim if this request holds it. A second call has no effect.
   *
   * @param settlement - Outcome of the request.
   */
  settle(settlement: Settlement): void {
    if (this.#isHeld && !this.#isSettled) {
      this.#isSettled = true;
      this.#options.service.settle(this.#options.claim, settlement);
    }
  }

  #resolve(known: Claim): Replay {
    const { claim, clock } = this.#options;
    return resolveReplay(known, claim.contentDigest, clock.nowMs());
  }
}
