// Gangs of the stand-in runners. The runners reach each other also while the
// project's processes do not reach them.

/** Time until another runner learns that a member has ended, in milliseconds. */
const NEWS_MS = 5;

export class Gangs {
  #byName = new Map();

  /**
   * Adds a member that waits for the others.
   *
   * @param run - Its task, run number and gang size; `begin` starts its work and
   * `finish` ends it.
   */
  join(run) {
    const name = nameGang(run);
    const gang = this.#byName.get(name) ??
      { members: new Set(), hasEnded: false };
    this.#byName.set(name, gang);
    gang.members.add(run);
    if (gang.members.size === run.work.gangSize && !gang.hasEnded) {
      gang.members.forEach((member) => member.begin());
    }
  }

  /** Whether all members are present. */
  isPresent(run) {
    return this.#byName.get(nameGang(run))?.members.size === run.work.gangSize;
  }

  /** Ends the others after one member has ended; all are done together. */
  leave(run, how) {
    const gang = this.#byName.get(nameGang(run));
    if (gang === undefined || gang.hasEnded) {
      return;
    }
    gang.hasEnded = true;
    const others = [...gang.members].filter((member) => member !== run);
    if (how === "done") {
      others.forEach((member) => member.finish("done"));
    } else {
      setTimeout(
        () => others.forEach((member) => member.finish("broken")),
        NEWS_MS,
      );
    }
  }
}

function nameGang({ task, runNumber }) {
  return `${task.split(".").slice(0, 3).join(".")}#${runNumber}`;
}
