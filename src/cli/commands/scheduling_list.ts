/** `cardamomsill job list`, `get runner` and `get wave`: list what is scheduled. */
import { Command } from "clipanion";
import type { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import { type ApiClient, schedulingListSchema } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";
import { renderTable } from "../output/index.ts";

/** Lists the leader's jobs, runners or waves, as the command path selects. */
export class SchedulingListCommand extends ApiCommand {
  static override paths = [["job", "list"], ["get", "runner"], ["get", "wave"]];
  static override usage = Command.Usage({
    description: "List the open jobs, the runners, or the maintenance waves.",
    examples: [
      ["Open jobs", "cardamomsill job list"],
      ["Runners", "cardamomsill get runner"],
      ["Waves", "cardamomsill get wave"],
    ],
  });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const [first = "", second = ""] = this.path;
    const kind = first === "job" ? first : second;
    const listed = await client.get(
      `/v1/scheduling/${kind}`,
      schedulingListSchema,
    );
    return listed.map((value) => ({ value, text: renderRows(value.items) }));
  }
}

function renderRows(
  items: readonly Readonly<Record<string, string | number>>[],
): string {
  const columns = Object.keys(items[0] ?? {});
  const header = columns.map((column) => column.toUpperCase());
  return items.length === 0 ? "none\n" : renderTable(
    header,
    items.map((item) => columns.map((column) => String(item[column]))),
  );
}
