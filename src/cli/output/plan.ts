/** Renders plans as text. */
import type { PlanResponse } from "../api/index.ts";

/**
 * Renders a plan as text.
 *
 * @param plan - The effects that a change would have.
 * @returns One line for each effect.
 */
export function renderPlan(plan: PlanResponse): string {
  const startCount =
    plan.actions.filter(({ waitsFor }) => waitsFor === undefined).length;
  const lines = [
    `plan on configuration revision ${plan.revision}; nothing is changed`,
    `${plan.actions.length} VMs would be drained and rebooted, ${startCount} of them at once`,
    ...plan.actions.map(renderAction),
    ...plan.budgets.map((budget) => `budget of ${budget}`),
    ...plan.clashes.map((clash) => `held: ${clash}`),
    ...plan.zonesOut.map((zone) => `zone/${zone} would go out of service`),
    ...plan.zonesBack.map((zone) => `zone/${zone} would come back`),
    ...plan.lostWork.map(({ team, queue, reason }) =>
      `no longer allowed: team/${team} on queue/${queue}, because ${reason}`
    ),
  ];
  return lines.map((line) => `${line}\n`).join("");
}

function renderAction(action: PlanResponse["actions"][number]): string {
  const when = action.waitsFor === undefined
    ? "starts at once"
    : `waits for the budget of ${action.waitsFor}`;
  return `  ${action.summary}: ${when}`;
}
