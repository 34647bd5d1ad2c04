#!/usr/bin/env node
/** The command line `cardamomsill` for operators. */
import process from "node:process";
import { Builtins, Cli } from "clipanion";
import * as commands from "./commands/index.ts";

const cli = new Cli({
  binaryLabel: "cardamomsill",
  binaryName: "cardamomsill",
  binaryVersion: "0.1.0",
});
cli.register(commands.ApplyCommand);
cli.register(commands.EntriesCommand);
cli.register(commands.ExplainCommand);
cli.register(commands.ExplainPlacementCommand);
cli.register(commands.GetCommand);
cli.register(commands.JobCancelCommand);
cli.register(commands.JobGetCommand);
cli.register(commands.JobSubmitCommand);
cli.register(commands.KeyCreateCommand);
cli.register(commands.KeyWithdrawCommand);
cli.register(commands.LabelCommand);
cli.register(commands.PlanCommand);
cli.register(commands.SchedulingListCommand);
cli.register(commands.StatusCommand);
cli.register(commands.VoterAddCommand);
cli.register(commands.VoterRemoveCommand);
cli.register(commands.WatchCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
