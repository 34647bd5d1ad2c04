/** The route for plans, which show the effects of a change in advance. */
import type { OperatorService, PlanService } from "../../services/index.ts";
import { type Exchange, readJson, sendResult } from "./exchange.ts";
import type { HttpServer } from "./http_server.ts";
import { MAX_CHANGE_BYTES, serveOperator } from "./operator_routes.ts";

/** Options of {@link addPlanRoutes}. */
export interface PlanRoutesOptions {
  readonly operators: OperatorService;
  readonly plans: PlanService;
}

/**
 * Adds the route for plans.
 *
 * @param server - The entry's HTTP server.
 * @param options - The services that the route calls.
 */
export function addPlanRoutes(
  server: HttpServer,
  options: PlanRoutesOptions,
): void {
  server.route(
    ["POST"],
    "/v1/plan",
    (exchange) =>
      serveOperator(
        exchange,
        options.operators,
        () => sendPlan(exchange, options),
      ),
  );
}

async function sendPlan(
  exchange: Exchange,
  { plans }: PlanRoutesOptions,
): Promise<void> {
  const body = await readJson(exchange, MAX_CHANGE_BYTES);
  const plan = body.andThen((value) => plans.plan(value));
  sendResult(exchange.response, plan);
}
