/** Budget policies: one for all failure domains, and a baseline. */
import type { AvailabilityBudget } from "../../domain/index.ts";
import type { FleetView, VmView } from "../fleet/index.ts";
import {
  type BudgetPolicy,
  type BudgetUse,
  listBudgets,
} from "./budget_policy.ts";

/**
 * Counts the unavailable VMs of a pool in each failure domain that has a
 * budget: the pool, its zones or its racks.
 *
 * Lost VMs, moves and maintenance use the same budget. An action on a VM that
 * is down or in a zone that is out needs budget too, although the VM counts
 * already. Otherwise more VMs than allowed would be unavailable after the
 * outage ends.
 */
export class DomainBudgetPolicy implements BudgetPolicy {
  findExhausted(view: FleetView, vm: VmView): BudgetUse | undefined {
    const pool = vm.pool;
    if (pool === undefined) {
      return undefined;
    }
    const members = view.listPool(pool);
    return listBudgets(view.findPool(pool)?.resource)
      .map((budget) => createUse(pool, budget, members, vm))
      .find((use) => isExhausted(use, vm));
  }

  listUses(view: FleetView, pool: string): BudgetUse[] {
    const members = view.listPool(pool);
    return listBudgets(view.findPool(pool)?.resource).flatMap((budget) => {
      const uses = new Map<string, BudgetUse>();
      for (const member of members) {
        const name = formatDomainName(pool, budget, member);
        if (!uses.has(name)) {
          uses.set(name, createUse(pool, budget, members, member));
        }
      }
      return [...uses.values()];
    });
  }
}

/** Baseline: counts over the whole pool only and ignores zones and racks. */
export class PoolTotalBudgetPolicy implements BudgetPolicy {
  findExhausted(view: FleetView, vm: VmView): BudgetUse | undefined {
    const pool = vm.pool ?? "";
    return this.listUses(view, pool).find((use) => isExhausted(use, vm));
  }

  listUses(view: FleetView, pool: string): BudgetUse[] {
    const members = view.listPool(pool);
    const first = members[0];
    return first === undefined ? [] : listBudgets(view.findPool(pool)?.resource)
      .filter(({ domain }) => domain === "pool")
      .map((budget) => createUse(pool, budget, members, first));
  }
}

function createUse(
  pool: string,
  budget: AvailabilityBudget,
  members: readonly VmView[],
  vm: VmView,
): BudgetUse {
  const domainName = formatDomainName(pool, budget, vm);
  const inDomain = members.filter((member) =>
    formatDomainName(pool, budget, member) === domainName
  );
  return {
    pool,
    budget,
    domainName,
    vmCount: inDomain.length,
    unavailable: inDomain.filter(({ outage }) => outage !== undefined),
  };
}

function formatDomainName(
  pool: string,
  { domain }: AvailabilityBudget,
  { vm }: VmView,
): string {
  switch (domain) {
    case "pool":
      return `pool/${pool}`;
    case "zone":
      return `zone/${vm.resource.zone}`;
    case "rack":
      // Racks in different zones may have the same name.
      return `rack/${vm.resource.zone}/${vm.resource.rack}`;
  }
}

function isExhausted({ budget, unavailable }: BudgetUse, vm: VmView): boolean {
  const others = unavailable.filter(({ name }) => name !== vm.name);
  if (vm.outage === undefined) {
    return others.length + 1 > budget.maxUnavailableVmCount;
  }
  const planned = others.filter(({ outage }) => outage !== "zoneOut");
  return planned.length + 1 > budget.maxUnavailableVmCount;
}
