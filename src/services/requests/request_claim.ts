/** The claim of one request on its idempotency key. */
import { Result } from "true-myth";
import type { Claim, Failure } from "../../domain/index.ts";
import type { Clock } from "../../ports/index.ts";
import {
  type ClaimService,
  type ReplayedOutcome,
  resolveReplay,
  type Settlement,
} from "../claims/index.ts";

/** What a resend is told instead of a run. */
export type Replay = Result<ReplayedOutcome, Failure>;

/** Options of {@link RequestClaim}. */
export interface RequestClaimOptions {
  readonly service: ClaimService;
  readonly clock: Clock;
  /** The claim to take, with state `running`. */
  readonly claim: Claim;
}

/** Takes the claim before the first attempt and settles it at the end. */
export class RequestClaim {
  readonly #options: RequestClaimOptions;
  #isHeld = false;
  #isSettled = false;

  constructor(options: RequestClaimOptions) {
    this.#options = options;
  }

  /**
   * Looks for an earlier request, as far as this entry knows.
   *
   * @returns What became of it, or undefined when none is known here.
   */
  findReplay(): Replay | undefined {
    const { service, claim } = this.#options;
    const known = service.find(claim.claimId);
    return known === undefined || known.state === "notRun"
      ? undefined
      : this.#resolve(known);
  }

  /**
   * Takes the claim; without effect when it is held already.
   *
   * @returns Undefined when the work may run, otherwise what the caller is told.
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
   * Settles the claim when it is held; a second call has no effect.
   *
   * @param settlement - What became of the request.
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
