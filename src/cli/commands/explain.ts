/** `cardamomsill explain SUBJECT`: shows the decisions about a subject. */
import { Command, Option } from "clipanion";
import { Result } from "true-myth";
import { createFailure, type Failure } from "../../domain/index.ts";
import { type ApiClient, explanationSchema } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";
import { renderExplanation } from "../output/index.ts";

/** Explains automated actions and refusals that concern a subject. */
export class ExplainCommand extends ApiCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Explain why something was done or refused, newest first.",
    examples: [
      ["A refusal", "cardamomsill explain decision/ID"],
      ["A VM", "cardamomsill explain vm/vm-1 --since 2026-01-01T00:00:00Z"],
    ],
  });

  subject = Option.String({ required: true });
  since = Option.String("--since", {
    description: "Omit decisions that are older than this time",
  });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const sinceMs = this.since === undefined ? 0 : Date.parse(this.since);
    if (Number.isNaN(sinceMs)) {
      return Result.err(
        createFailure("invalidInput", `invalid --since '${this.since}'`, {
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
