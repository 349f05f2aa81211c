const failuresOfOutage = 2; // in a row; a single one may be that of a connection

/** Outcomes of a node's calls of the store. */
export class CallOutcomes {
    private failuresInRow = 0;
    private listeners: (() => void)[] = [];

    /** Whether the store could not be read the last times that this node tried. */
    get isStoreAway(): boolean {
        return this.failuresInRow >= failuresOfOutage;
    }

    /** Records a call that has ended. */
    record(isAnswered: boolean): void {
        this.failuresInRow = isAnswered ? 0 : this.failuresInRow + 1;
        const { listeners } = this;
        this.listeners = [];
        listeners.forEach(listener => listener());
    }

    /** Resolves when the next call ends. */
    waitForNext(): Promise<void> {
        return new Promise(resolve => this.listeners.push(resolve));
    }
}
