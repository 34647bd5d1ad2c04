/** Routes that show which revision is in force at each entry. */
import type { EntryDirectory } from "../../ports/index.ts";
import type { OperatorService } from "../../services/index.ts";
import { readSecret, sendFailure, sendResult } from "./exchange.ts";
import type { HttpServer } from "./http_server.ts";

/** Options of {@link addEntryRoutes}. */
export interface EntryRoutesOptions {
  readonly operators: OperatorService;
  readonly entries: EntryDirectory;
}

/**
 * Adds `/v1/entries`.
 *
 * @param server - The entry's HTTP server.
 * @param options - Who may ask, and who knows the entries.
 */
export function addEntryRoutes(
  server: HttpServer,
  options: EntryRoutesOptions,
): void {
  server.route(["GET"], "/v1/entries", async ({ request, response }) => {
    const operator = options.operators.authenticate(readSecret(request));
    if (operator.isErr) {
      sendFailure(response, operator.error);
      return;
    }
    sendResult(response, await options.entries.listEntries());
  });
}
