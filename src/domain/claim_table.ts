/**
 * Claims on idempotency keys: which request may run, and the outcome of its
 * work.
 */
import type { Claim } from "./command.ts";

/**
 * Number of claims beyond which the oldest are dropped. Claims whose work may
 * still run are kept even beyond it.
 */
export const MAX_KEPT_CLAIMS = 50_000;

/**
 * Stores claims on idempotency keys. Applying the same commands yields the same
 * table on every entry.
 */
export class ClaimTable {
  readonly #claims = new Map<string, Claim>();
  #newestAtMs = 0;

  /**
   * Takes new claims and settles existing ones.
   *
   * @param claims - A claim in state `running` is new; any other state settles
   * the claim with that id.
   * @returns The resulting claims, in the same order. A request holds its new
   * claim only when the resulting claim has that request's id.
   */
  apply(claims: readonly Claim[]): Claim[] {
    const resulting = claims.map((claim) => this.#applyOne(claim));
    this.#dropOldest();
    return resulting;
  }

  /**
   * Finds a claim.
   *
   * @param claimId - Team, queue and key of the claim.
   * @returns The claim, or undefined when it is not stored.
   */
  find(claimId: string): Claim | undefined {
    return this.#claims.get(claimId);
  }

  /**
   * Lists the claims.
   *
   * @returns All stored claims, oldest first.
   */
  list(): Claim[] {
    return [...this.#claims.values()];
  }

  /**
   * Wall-clock time of the newest claim ever taken, in milliseconds; that claim
   * may no longer be stored.
   */
  get newestAtMs(): number {
    return this.#newestAtMs;
  }

  /**
   * Replaces the table by the claims of a snapshot.
   *
   * @param claims - Claims that {@link ClaimTable.list} returned.
   * @param newestAtMs - Value of {@link ClaimTable.newestAtMs} at that time. It
   * determines which claims are dropped next, and it may belong to a claim that
   * is no longer stored. Without it, this entry would drop other claims than
   * its peers.
   */
  restore(claims: readonly Claim[], newestAtMs: number): void {
    this.#claims.clear();
    claims.forEach((claim) => this.#put(claim));
    this.#newestAtMs = newestAtMs;
  }

  #applyOne(claim: Claim): Claim {
    const current = this.#claims.get(claim.claimId);
    const mayPut = claim.state === "running"
      ? mayTake(claim, current)
      : maySettle(claim, current);
    if (mayPut || current === undefined) {
      this.#put(claim);
      return claim;
    }
    return current;
  }

  #put(claim: Claim): void {
    // A claim that is taken again moves to the end, so that it counts as new
    // and is not dropped early.
    if (claim.state === "running") {
      this.#claims.delete(claim.claimId);
    }
    this.#claims.set(claim.claimId, claim);
    this.#newestAtMs = Math.max(this.#newestAtMs, claim.atMs);
  }

  #dropOldest(): void {
    for (const [claimId, claim] of this.#claims) {
      if (this.#claims.size <= MAX_KEPT_CLAIMS) {
        return;
      }
      // Dropping a claim whose work may still run would let a resend run the
      // work a second time.
      const mayRun = claim.state === "running" &&
        claim.atMs + claim.leaseMs > this.#newestAtMs;
      if (!mayRun) {
        this.#claims.delete(claimId);
      }
    }
  }
}

// A delayed duplicate of a claim must not reopen it after its request has
// settled it.
function mayTake(claim: Claim, current: Claim | undefined): boolean {
  return current === undefined ||
    (current.state === "notRun" && current.requestId !== claim.requestId);
}

function maySettle(claim: Claim, current: Claim | undefined): boolean {
  return current === undefined ||
    (current.state === "running" && current.requestId === claim.requestId);
}
