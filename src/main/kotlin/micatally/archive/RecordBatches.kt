package micatally.archive

import micatally.state.KeyValue
import micatally.state.StateLimits

/** Splits a list of records into batches that fit in one transaction each. */
object RecordBatches {
    /** An upper bound of the bytes that the keys and conditions of one record take in a transaction. */
    private const val KEY_BYTES = 250

    /**
     * Splits [items], in their order, into as few batches as possible. A batch has at most [maxRecords] records, and at
     * most [StateLimits.TRANSACTION_BYTES] unless it is a single record.
     */
    fun split(
        items: List<KeyValue>,
        maxRecords: Int,
    ): List<List<KeyValue>> {
        val batches = ArrayList<MutableList<KeyValue>>()
        var bytes = 0
        for (item in items) {
            val size = item.value.toString().length + KEY_BYTES
            val last = batches.lastOrNull()
            if (last == null || last.size >= maxRecords || bytes + size > StateLimits.TRANSACTION_BYTES) {
                batches.add(arrayListOf(item))
                bytes = size
            } else {
                last.add(item)
                bytes += size
            }
        }
        return batches
    }
}
