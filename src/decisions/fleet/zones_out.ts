/** Finds the availability zones that are out of service. */
import {
  type DecisionCause,
  type FleetState,
  type Labels,
  type Maintenance,
  matchesSelector,
  type Selector,
  type StoredResource,
  type Vm,
  type Zone,
  ZONE_OUT_VALUE,
  ZONE_SERVICE_LABEL,
} from "../../domain/index.ts";
import { createCause } from "./decision_cause.ts";

/** A zone that is out of service, and what took it out. */
export interface ZoneOut {
  readonly zone: StoredResource<Zone>;
  /** The zone itself when its label took it out, otherwise the maintenance. */
  readonly cause: StoredResource<Zone> | StoredResource<Maintenance>;
}

/**
 * Lists the zones that are out of service.
 *
 * The result depends on the declared resources alone. Actions that come early,
 * are repeated or are cancelled therefore always lead to the declared state.
 *
 * @param state - The state in force.
 * @returns The zones that a label or a maintenance action takes out, by name.
 */
export function listZonesOut(state: FleetState): Map<string, ZoneOut> {
  const takeOuts = state.list("maintenance").filter(({ resource }) =>
    resource.action === "takeOut" && !resource.cancelled
  );
  const zonesOut = new Map<string, ZoneOut>();
  for (const zone of state.list("zone")) {
    const isLabelled =
      zone.resource.labels[ZONE_SERVICE_LABEL] === ZONE_OUT_VALUE;
    const cause = isLabelled
      ? zone
      : takeOuts.find(({ resource }) => selectsZone(resource, zone.resource));
    if (cause !== undefined) {
      zonesOut.set(zone.resource.name, { zone, cause });
    }
  }
  return zonesOut;
}

/**
 * Describes what took a zone out of service.
 *
 * @param zoneOut - A zone that is out of service.
 * @returns The zone's label, or the selector of the maintenance action.
 */
export function createZoneOutCause({ cause }: ZoneOut): DecisionCause {
  return cause.resource.kind === "zone"
    ? createCause(cause, `labels.${ZONE_SERVICE_LABEL}`, ZONE_OUT_VALUE)
    : createCause(
      cause,
      "zoneSelector",
      JSON.stringify(cause.resource.zoneSelector),
    );
}

/**
 * Tells whether a maintenance action selects a zone.
 *
 * @param maintenance - The action. Without a zone selector it selects no zone.
 * @param zone - The zone. Its name and region count as labels too.
 * @returns True when the zone is selected.
 */
export function selectsZone(maintenance: Maintenance, zone: Zone): boolean {
  const { name, region } = zone;
  return matches(maintenance.zoneSelector, { name, region, ...zone.labels });
}

/**
 * Tells whether a maintenance action selects a VM.
 *
 * @param maintenance - The action. Without a VM selector it selects no VM.
 * @param vm - The VM. Its name, zone and rack count as labels too.
 * @returns True when the VM is selected.
 */
export function selectsVm(maintenance: Maintenance, vm: Vm): boolean {
  const { name, zone, rack } = vm;
  return matches(maintenance.vmSelector, { name, zone, rack, ...vm.labels });
}

function matches(selector: Selector | undefined, labels: Labels): boolean {
  return selector !== undefined && matchesSelector(selector, labels);
}
