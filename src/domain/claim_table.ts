/** Claims on idempotency keys: who may run, and what became of it. */
import type { Claim } from "./command.ts";

/** Claims that are kept at least; running ones are kept beyond it. */
export const MAX_KEPT_CLAIMS = 50_000;

/** Keeps the claims; the same commands lead to the same table everywhere. */
export class ClaimTable {
  readonly #claims = new Map<string, Claim>();
  #newestAtMs = 0;

  /**
   * Takes or settles claims.
   *
   * @param claims - New claims are `running`; any other state settles one.
   * @returns The claims as they stand, in the same order. A new claim is held
   * by its request only when the standing claim carries that request's id.
   */
  apply(claims: readonly Claim[]): Claim[] {
    const standing = claims.map((claim) => this.#applyOne(claim));
    this.#dropOldest();
    return standing;
  }

  /**
   * Finds a claim.
   *
   * @param claimId - Team, queue and key of the claim.
   * @returns The claim, or undefined when it is not kept.
   */
  find(claimId: string): Claim | undefined {
    return this.#claims.get(claimId);
  }

  /**
   * Lists the claims.
   *
   * @returns All kept claims, oldest first.
   */
  list(): Claim[] {
    return [...this.#claims.values()];
  }

  /** Wall-clock time of the newest claim ever taken, in milliseconds. */
  get newestAtMs(): number {
    return this.#newestAtMs;
  }

  /**
   * Takes over the claims of a snapshot.
   *
   * @param claims - What {@link ClaimTable.list} returned.
   * @param newestAtMs - {@link ClaimTable.newestAtMs} at that time. It may be
   * the time of a claim that is no longer kept, and decides what is dropped
   * next: a copy without it would drop other claims than its peers.
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
    // A claim that is taken anew moves to the end, so that it is kept for long.
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
      // Dropping a claim whose work may still run would allow a second run.
      const mayRun = claim.state === "running" &&
        claim.atMs + claim.leaseMs > this.#newestAtMs;
      if (!mayRun) {
        this.#claims.delete(claimId);
      }
    }
  }
}

// A late copy of a claim must not revive it after its request settled it.
function mayTake(claim: Claim, current: Claim | undefined): boolean {
  return current === undefined ||
    (current.state === "notRun" && current.requestId !== claim.requestId);
}

function maySettle(claim: Claim, current: Claim | undefined): boolean {
  return current === undefined ||
    (current.state === "running" && current.requestId === claim.requestId);
}
