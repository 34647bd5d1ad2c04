/** Brings the VMs of an availability zone back into use after its return. */

/**
 * Time after a zone's return at which all of its VMs get work, in milliseconds.
 */
export const ZONE_RETURN_MS = 30_000;
const STEP_COUNT = 6;
const HASH_PRIME = 16_777_619;
const HASH_OFFSET = 2_166_136_261;

/** Decides which VMs of a returned zone get work. */
export interface ZoneReturnPolicy {
  /**
   * Tells whether a VM gets work again.
   *
   * @param vm - Name of the VM.
   * @param sinceReturnMs - Time since its zone came back, in milliseconds;
   * `Infinity` when the zone was never out.
   * @returns True when it gets work.
   */
  admits(vm: string, sinceReturnMs: number): boolean;
}

/**
 * Admits a further sixth of the zone's VMs every five seconds.
 *
 * The choice depends on a hash of the VM's name, so that all entries make the
 * same choice.
 */
export class SteppedZoneReturn implements ZoneReturnPolicy {
  admits(vm: string, sinceReturnMs: number): boolean {
    const stepMs = ZONE_RETURN_MS / STEP_COUNT;
    const openStepCount = Math.floor(sinceReturnMs / stepMs) + 1;
    return hashName(vm) % STEP_COUNT < openStepCount;
  }
}

/** Baseline: admits all VMs at once. */
export class ImmediateZoneReturn implements ZoneReturnPolicy {
  admits(): boolean {
    return true;
  }
}

/**
 * Records when zones come back, as seen on one entry.
 *
 * An entry that starts after a zone's return has seen no outage and admits all
 * VMs. It still follows the declared state; only the gradual return is lost.
 */
export class ZoneReturns {
  readonly #out = new Set<string>();
  readonly #returnedAtMs = new Map<string, number>();

  /**
   * Records which zones are out now.
   *
   * @param zonesOut - Names of the zones that are out.
   * @param monotonicMs - Monotonic time now, in milliseconds.
   */
  record(zonesOut: ReadonlySet<string>, monotonicMs: number): void {
    for (const zone of this.#out) {
      if (!zonesOut.has(zone)) {
        this.#out.delete(zone);
        this.#returnedAtMs.set(zone, monotonicMs);
      }
    }
    for (const zone of zonesOut) {
      this.#out.add(zone);
      this.#returnedAtMs.delete(zone);
    }
  }

  /**
   * Returns the time since a zone came back.
   *
   * @param zone - Name of the zone.
   * @param monotonicMs - Monotonic time now, in milliseconds.
   * @returns Milliseconds, or `Infinity` when the zone was never seen to be
   * out.
   */
  sinceReturnMs(zone: string, monotonicMs: number): number {
    const returnedAtMs = this.#returnedAtMs.get(zone);
    return returnedAtMs === undefined ? Infinity : monotonicMs - returnedAtMs;
  }
}

function hashName(name: string): number {
  let hash = HASH_OFFSET;
  for (let index = 0; index < name.length; index += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(index), HASH_PRIME) >>> 0;
  }
  return hash;
}
