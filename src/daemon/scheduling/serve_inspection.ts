/** The address of a scheduling process for operators and scrapers. */
import { HttpServer } from "../../adapters/http/http_server.ts";
import { addJobRoutes } from "../../adapters/http/job_routes.ts";
import type {
  JobCallForwarder,
  SchedulingClient,
} from "../../services/scheduling/index.ts";
import type { SchedulingBase } from "./scheduling_base.ts";

/** Options of {@link serveInspection}. */
export interface InspectionOptions {
  readonly base: SchedulingBase;
  readonly calls: JobCallForwarder;
  readonly leader: SchedulingClient;
}

/**
 * Serves metrics, jobs and explanations. A process whose address is taken works
 * on without it.
 *
 * @param options - Adapters and calls; nothing is served without an address.
 */
export async function serveInspection(
  { base, ...calls }: InspectionOptions,
): Promise<void> {
  const { inspectionAddress, logger, metrics } = base;
  if (inspectionAddress === undefined) {
    return;
  }
  const server = new HttpServer({ ...base, ...inspectionAddress });
  server.route(["GET"], "/metrics", async ({ response }) => {
    const text = await metrics.render();
    response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
    response.end(text);
  });
  addJobRoutes(server, { ...base, ...calls });
  try {
    await server.start();
  } catch (error) {
    logger.error({ err: error, inspectionAddress }, "no metrics are served");
  }
}
