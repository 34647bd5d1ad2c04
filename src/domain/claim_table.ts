/** The claims on idempotency keys that are kept. */
import { dropOldest } from "./bounded_map.ts";
import type { Claim } from "./command.ts";
import { MAX_KEPT_CLAIMS } from "./fleet_snapshot.ts";

/** Remembers claims by id, the newest of them. */
export class ClaimTable {
  readonly #claims = new Map<string, Claim>();

  /**
   * Takes or settles claims.
   *
   * @param claims - Claims in order.
   * @returns The claims as they stand after that, in the same order.
   */
  apply(claims: readonly Claim[]): readonly Claim[] {
    const standing = claims.map((claim) => this.#applyOne(claim));
    dropOldest(this.#claims, MAX_KEPT_CLAIMS);
    return standing;
  }

  /** Finds a claim by its id. */
  find(claimId: string): Claim | undefined {
    return this.#claims.get(claimId);
  }

  /** Lists the kept claims, oldest first. */
  list(): Claim[] {
    return [...this.#claims.values()];
  }

  /** Takes a claim back from a snapshot. */
  put(claim: Claim): void {
    this.#claims.set(claim.claimId, claim);
  }

  #applyOne(claim: Claim): Claim {
    const current = this.#claims.get(claim.claimId);
    if (current !== undefined && !maySettle(current, claim)) {
      return current;
    }
    this.#claims.set(claim.claimId, claim);
    return claim;
  }
}

// A late copy of the first command must not reopen a settled claim.
function maySettle(current: Claim, claim: Claim): boolean {
  const isSame = current.entryId === claim.entryId &&
    current.atMs === claim.atMs;
  const reopens = claim.state === "running" && current.state !== "running";
  return isSame && !reopens;
}
