import { formatTable } from "../src/cli/formatTable";
import { runSoak } from "./runSoak";

const readNumberFlag = (name: string, fallback: number): number => {
    const index = process.argv.indexOf(name);
    return index < 0 ? fallback : Number(process.argv[index + 1]);
};

const main = async (): Promise<void> => {
    const seed = readNumberFlag("--seed", 1);
    const minutes = readNumberFlag("--minutes", 1);
    const tally = await runSoak({ seed, minutes });
    const rows = [...tally.counts].sort(([a], [b]) => a < b ? -1 : 1);
    console.log(formatTable(["count", "value"], rows));
    tally.violations.slice(0, 50).forEach(violation => console.log(`VIOLATION ${violation}`));
    const summary = JSON.stringify({
        seed,
        minutes,
        accepted: tally.read("drafts accepted") + tally.read("batches accepted"),
        answered: tally.read("drafts answered") + tally.read("batches answered"),
        bookingsAnswered: tally.read("bookings answered"),
        runsPerKeyAtMost: tally.read("runs per key at most"),
        resumed: tally.read("streams resumed"),
        violations: tally.violations.length,
    });
    console.log(summary);
    process.exitCode = tally.violations.length === 0 ? 0 : 1;
};

main().catch((error: unknown) => {
    console.error(error);
    process.exitCode = 1;
});
