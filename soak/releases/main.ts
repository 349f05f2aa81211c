import { resolve } from "node:path";
import { ReleaseRun } from "./ReleaseRun";

const readFlag = (name: string, fallback: string): string => {
    const index = process.argv.indexOf(name);
    return index < 0 ? fallback : process.argv[index + 1];
};

const main = async (): Promise<void> => {
    const programs = readFlag("--programs", "target/sequoiagrade.js").split(",").map(path => resolve(path));
    const seed = Number(readFlag("--seed", "1"));
    const rounds = Number(readFlag("--rounds", "20"));
    const nodeCount = Number(readFlag("--nodes", "2"));
    const run = new ReleaseRun({ seed, rounds, programs, nodeCount });
    const { breaches, takeovers, log, ...counts } = await run.run();
    log.forEach(line => console.log(line));
    breaches.forEach(breach => console.log(`BREACH ${breach}`));
    console.log(JSON.stringify({
        seed,
        rounds,
        nodeCount,
        ...counts,
        takeovers: Object.fromEntries(takeovers),
        breaches: breaches.length,
    }));
    process.exitCode = breaches.length === 0 ? 0 : 1;
};

main().catch((error: unknown) => {
    console.error(error);
    process.exitCode = 1;
});
