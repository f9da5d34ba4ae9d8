package micatally.archive

import micatally.state.KeyValue
import micatally.state.StateLimits

/** Splits records among transactions. */
object RecordBatches {
    /** The bytes that the keys and conditions of one record take in a transaction, at most. */
    private const val KEY_BYTES = 250

    /** As few batches as keep the order and have [maxRecords] records, and the bytes of one transaction, at most. */
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
