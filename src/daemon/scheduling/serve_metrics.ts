/** The metrics address of a scheduling process. */
import { HttpServer } from "../../adapters/http/http_server.ts";
import type { SchedulingBase } from "./scheduling_base.ts";

/**
 * Serves `/metrics`. A process whose address is taken works on without it.
 *
 * @param base - Adapters and the metrics; nothing is served without an address.
 */
export async function serveMetrics(base: SchedulingBase): Promise<void> {
  const { logger, metrics, metricsAddress } = base;
  if (metricsAddress === undefined) {
    return;
  }
  const server = new HttpServer({ ...base, ...metricsAddress });
  server.route(["GET"], "/metrics", async ({ response }) => {
    const text = await metrics.render();
    response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
    response.end(text);
  });
  try {
    await server.start();
  } catch (error) {
    logger.error({ err: error, metricsAddress }, "no metrics are served");
  }
}
