package org.guavapath.cli

import com.github.michaelbull.result.getOrElse
import org.guavapath.core.config.Configuration
import org.guavapath.core.config.ConfigurationReader
import java.io.IOException
import java.nio.charset.CharacterCodingException
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.isDirectory
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText

/** Reads a configuration folder from disk. */
internal object FolderReader {
    /**
     * Returns the validated configuration, merged from the .json files of [folder] in order of their names.
     *
     * @throws CommandFailure if the folder cannot be read or is not valid; the message names the first file that is not
     *   a JSON object in UTF-8, or else lists all faults that [ConfigurationReader.read] returns
     */
    fun read(folder: String): Configuration {
        val path = Path.of(folder)
        if (!path.isDirectory()) throw CommandFailure(ExitStatus.USAGE, "$folder is not a folder")
        val files = path.listDirectoryEntries().filter { it.extension == "json" }.sortedBy { it.name }
        if (files.isEmpty()) throw CommandFailure(ExitStatus.USAGE, "$folder holds no .json file")
        val parsed = files.map { file ->
            ConfigurationReader.parse(file.name, textOf(file)).getOrElse { invalid(listOf(it.toString())) }
        }
        return ConfigurationReader.read(parsed).getOrElse { faults -> invalid(faults.map { it.toString() }) }
    }

    private fun textOf(file: Path): String = try {
        file.readText()
    } catch (exception: CharacterCodingException) {
        throw CommandFailure(ExitStatus.INVALID, "${file.name}: the text is not valid UTF-8", exception)
    } catch (exception: IOException) {
        throw CommandFailure(ExitStatus.USAGE, "${file.name} cannot be read: ${exception.message}", exception)
    }

    private fun invalid(faults: List<String>): Nothing =
        throw CommandFailure(ExitStatus.INVALID, faults.joinToString("\n"))
}
