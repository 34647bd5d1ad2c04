/** `cardamomsill entries`: shows the revision in force at every entry. */
import { Command } from "clipanion";
import type { Result } from "true-myth";
import type * as v from "valibot";
import type { Failure } from "../../domain/index.ts";
import { type ApiClient, entryListSchema } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";
import { renderTable } from "../output/index.ts";

const HEADER = ["ENTRY", "ROLE", "REVISION", "LEASE LEFT"];

/** Shows role, revision and lease of every entry as the leader knows them. */
export class EntriesCommand extends ApiCommand {
  static override paths = [["entries"]];
  static override usage = Command.Usage({
    description: "Show role, revision and freshness lease of every entry.",
    details: `
      An entry whose lease has expired (LEASE LEFT shows "lapsed") refuses new
      work. An entry that has lost its data folder is a learner until it votes
      again.
    `,
  });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const listed = await client.get("/v1/entries", entryListSchema);
    return listed.map((value) => ({ value, text: renderEntries(value) }));
  }
}

/**
 * Renders the entries as a table.
 *
 * @param list - The entries as the leader knows them.
 * @returns The table.
 */
export function renderEntries(
  { entries }: v.InferOutput<typeof entryListSchema>,
): string {
  return renderTable(
    HEADER,
    entries.map(({ entryId, role, revision, leaseLeftMs }) => [
      entryId,
      role,
      revision === undefined ? "not heard" : String(revision),
      leaseLeftMs === 0 ? "lapsed" : `${leaseLeftMs} ms`,
    ]),
  );
}
