/** How the VMs of an availability zone come back into use after its return. */
/** Time after which all VMs of a returned zone are used again. */
export const ZONE_RETURN_MS = 30_000;
const STEP_COUNT = 6;
const HASH_PRIME = 16_777_619;
const HASH_OFFSET = 2_166_136_261;

/** Decides which VMs of a returned zone take work. */
export interface ZoneReturnPolicy {
  /**
   * Tells whether a VM takes work again.
   *
   * @param vm - Name of the VM.
   * @param sinceReturnMs - Time since its zone came back, in milliseconds;
   * `Infinity` when the zone was never out.
   * @returns True when it takes work.
   */
  admits(vm: string, sinceReturnMs: number): boolean;
}

/**
 * Lets a sixth of the zone's VMs back in every five seconds.
 *
 * The choice follows from the VM's name, so that every entry makes the same.
 */
export class SteppedZoneReturn implements ZoneReturnPolicy {
  admits(vm: string, sinceReturnMs: number): boolean {
    const stepMs = ZONE_RETURN_MS / STEP_COUNT;
    const openStepCount = Math.floor(sinceReturnMs / stepMs) + 1;
    return hashName(vm) % STEP_COUNT < openStepCount;
  }
}

/** Lets all VMs back at once; the baseline. */
export class ImmediateZoneReturn implements ZoneReturnPolicy {
  admits(): boolean {
    return true;
  }
}

/**
 * Notes when zones come back, as seen on one entry.
 *
 * An entry that starts after the return has seen no outage and lets all VMs in:
 * the declared state holds, only the smoothing is lost.
 */
export class ZoneReturns {
  readonly #out = new Set<string>();
  readonly #returnedAtMs = new Map<string, number>();

  /**
   * Notes which zones are out now.
   *
   * @param zonesOut - Names of the zones that are out.
   * @param monotonicMs - Time of the look.
   */
  note(zonesOut: ReadonlySet<string>, monotonicMs: number): void {
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
   * Tells how long ago a zone came back.
   *
   * @param zone - Name of the zone.
   * @param monotonicMs - The time now.
   * @returns Milliseconds, or `Infinity` when it was never seen to be out.
   */
  sinceReturnMs(zone: string, monotonicMs: number): number {
    const returnedAtMs = this.#returnedAtMs.get(zone);
    return returnedAtMs === undefined ? Infinity : monotonicMs - returnedAtMs;
  }
}

function hashName(name: string): number {
  let hash = HASH_OFFSET;
  for (let at = 0; at < name.length; at += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(at), HASH_PRIME) >>> 0;
  }
  return hash;
}
