/** `cardamomsill status`: shows leader, term and revision as an entry sees them. */
import { Command } from "clipanion";
import type { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import { type ApiClient, statusSchema } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";
import { renderTable } from "../output/index.ts";

/** Shows the replication status of an entry. */
export class StatusCommand extends ApiCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "Show leader, term and revision as an entry knows them.",
  });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const status = await client.get("/v1/status", statusSchema);
    return status.map((value) => ({
      value,
      text: renderTable(["ENTRY", "LEADER", "TERM", "REVISION"], [[
        value.entryId,
        value.leaderId ?? "none",
        String(value.term),
        String(value.revision),
      ]]),
    }));
  }
}
