/** `cardamomsill explain SUBJECT`: says why something was done. */
import { Command, Option } from "clipanion";
import { Result } from "true-myth";
import { createFailure, type Failure } from "../../domain/index.ts";
import { type ApiClient, explanationSchema } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";
import { renderExplanation } from "../output/index.ts";

/** Explains automated actions. */
export class ExplainCommand extends ApiCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Say why something was done or refused, newest first.",
    examples: [
      ["A refusal", "cardamomsill explain decision/ID"],
      ["A VM", "cardamomsill explain vm/vm-1 --since 2026-01-01T00:00:00Z"],
    ],
  });

  subject = Option.String({ required: true });
  since = Option.String("--since", {
    description: "Leave out what is older than this time",
  });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const sinceMs = this.since === undefined ? 0 : Date.parse(this.since);
    if (Number.isNaN(sinceMs)) {
      return Result.err(
        createFailure("invalidInput", `--since is '${this.since}'`, {
          remedy: "write a time such as 2026-01-01T00:00:00Z",
        }),
      );
    }
    const path = `/v1/explain/${this.subject}?sinceMs=${sinceMs}`;
    const explanation = await client.get(path, explanationSchema);
    return explanation.map((value) => ({
      value,
      text: renderExplanation(value),
    }));
  }
}
