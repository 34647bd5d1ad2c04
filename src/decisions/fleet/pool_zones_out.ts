/** Finds the zones out of service that affect pools. */
import type { FleetIndex } from "./fleet_index.ts";
import type { ZoneOut } from "./zones_out.ts";

/**
 * Lists the zones that are out of service and contain VMs of some pools.
 *
 * @param index - The configuration in force.
 * @param poolNames - Names of the pools.
 * @returns The zones, sorted by name.
 */
export function listPoolZonesOut(
  index: FleetIndex,
  poolNames: readonly string[],
): ZoneOut[] {
  const found = new Map<string, ZoneOut>();
  for (const { vm, pool } of index.listVms()) {
    const { zone } = vm.resource;
    const zoneOut = index.findZoneOutCause(zone);
    const isOfPool = pool !== undefined && poolNames.includes(pool);
    if (isOfPool && zoneOut !== undefined) {
      found.set(zone, zoneOut);
    }
  }
  return [...found.values()].sort((left, right) =>
    left.zone.resource.name < right.zone.resource.name ? -1 : 1
  );
}
