/** The route at which backend servers announce themselves. */
import {
  announcementSchema,
  type Failure,
  validateWith,
} from "../../domain/index.ts";
import { Result } from "true-myth";
import type { BackendDirectory } from "../../services/index.ts";
import { type Exchange, readJson, sendResult } from "./exchange.ts";
import type { HttpServer } from "./http_server.ts";

const MAX_ANNOUNCEMENT_BYTES = 256 * 1_024;

/** Options of {@link addBackendRoutes}. */
export interface BackendRoutesOptions {
  readonly directory: BackendDirectory;
}

/**
 * Adds the route for announcements of backend servers.
 *
 * @param server - The entry's HTTP server.
 * @param options - The directory that stores the announcements.
 */
export function addBackendRoutes(
  server: HttpServer,
  options: BackendRoutesOptions,
): void {
  server.route(
    ["POST"],
    "/v1/announcements",
    (exchange) => acceptAnnouncement(exchange, options),
  );
}

async function acceptAnnouncement(
  exchange: Exchange,
  options: BackendRoutesOptions,
): Promise<void> {
  const body = await readJson(exchange, MAX_ANNOUNCEMENT_BYTES);
  const accepted: Result<unknown, Failure> = body
    .andThen((value) =>
      validateWith(announcementSchema, value, { subject: "announcement" })
    )
    .map((announcement) => ({
      accepted: options.directory.accept(announcement),
    }));
  sendResult(exchange.response, accepted);
}
